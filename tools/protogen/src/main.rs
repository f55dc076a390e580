//! Generates the committed code in `components/proto/src/generated`.
//!
//! Run it from this folder with `cargo run` after changing a `.proto` file.

const PROTO_DIR: &str = "../../components/proto/proto";
const OUT_DIR: &str = "../../components/proto/src/generated";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["etcd.proto"], [PROTO_DIR])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(OUT_DIR)
        .compile_fds(files)?;
    Ok(())
}
