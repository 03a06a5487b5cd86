"""Generates the protobuf and grpclib modules of the peer protocol."""

import pathlib
import subprocess
import sys

_PROTO = "sesameroad/peering/peer.proto"


def main() -> None:
    """Runs protoc with the Python and grpclib generators."""
    bin_directory = pathlib.Path(sys.executable).parent
    plugin = bin_directory / "protoc-gen-grpclib_python"
    subprocess.run(
        [
            sys.executable,
            "-m",
            "grpc_tools.protoc",
            "--proto_path=.",
            "--python_out=.",
            f"--plugin=protoc-gen-grpclib_python={plugin}",
            "--grpclib_python_out=.",
            _PROTO,
        ],
        check=True,
    )


if __name__ == "__main__":
    main()
