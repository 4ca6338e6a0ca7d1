"""The agent process, which executes the agent's decisions on sockets."""
