// Three gateways on one host, as `make run` starts them.
package agent

name: "here"
folder: "../../.run/agent"

instances: {
	n0: {
		config: "../../.run/n0.json"
		listen: "127.0.0.1:7070"
		zone: "a"
	}
	n1: {
		config: "../../.run/n1.json"
		listen: "127.0.0.1:7071"
		zone: "a"
	}
	n2: {
		config: "../../.run/n2.json"
		listen: "127.0.0.1:7072"
		zone: "b"
	}
}
