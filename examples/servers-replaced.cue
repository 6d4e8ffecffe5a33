// Six in ten servers of a large fleet start again within seconds, each cold, while discovery is late.
package lab

name: "Most servers replaced"
duration: "30s"
repeats: 1

gateways: {count: 40, spread: 8}
nodes: {
	count: 60
	cold: 0.16
	warm: "17s"
	late: "1s"
	handshake: "40ms"
	connections: 64
}

plans: {
	mala: {customers: 500, use: 0.7, rate: 0.8, burst: 3.6, pays: 0.5}
	duza: {customers: 40, use: 0.9, rate: 4.8, burst: 9, ceilingRate: 9.6, ceilingBurst: 18, pays: 1.2}
	pelna: {customers: 16, use: 0.7, rate: 10, burst: 22, pays: 1.6}
}

faults: [
	{kind: "restart", at: "5s", for: "3s", nodes: 18},
	{kind: "restart", at: "9s", for: "3s", nodes: 36},
]
