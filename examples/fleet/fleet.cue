// The fleet of `make run`: the one agent on this host.
package fleet

agents: here: socket: "../../.run/agent/agent.sock"
