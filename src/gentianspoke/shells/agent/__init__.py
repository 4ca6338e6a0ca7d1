"""The agent process: carries out decisions on real sockets."""
