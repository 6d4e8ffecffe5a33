// What `latchspoke lab run FILE` is told: a world, a load, what goes wrong, and what is compared.
package lab

import "time"

#Experiment: {
	name: string & !=""
	seed: int & >=0 | *1
	duration: time.Duration | *"20s"

	// How often each variant is played, each time with draws of its own.
	repeats: int & >=1 & <=50 | *2
	gateways: #Gateways
	nodes: #Nodes
	counter: #Counter
	clients: #Clients
	plans: [string]: #Plan

	// A recorded trace in place of the drawn load; its gateways in their order stand for these.
	trace?: #Trace
	faults: [...#Fault] | *[]

	// Each is the experiment with these things changed; without any, it is played as it is.
	variants: [string]: #Variant
}

#Gateways: {
	count: int & >=1 & <=64 | *3
	spread: int & >=1 & <=64 | *2
	sockets: int & >=64 | *1024
	zones: int & >=1 & <=16 | *3
}

#Nodes: {
	count: int & >=1 & <=500 | *12
	cores: number & >0 | *2
	slots: int & >=1 | *8
	room: int & >=0 | *64
	cold: number & >0 & <=1 | *0.2
	warm: time.Duration | *"15s"
	work: time.Duration | *"130ms" // of one core, on average
	sigma: number & >=0 | *0.3
	report: time.Duration | *"500ms"
	late: time.Duration | *"1s" // until discovery tells of a change
	handshake: time.Duration | *"2ms" // work that a new connection costs
	connections: int & >=1 | *512 // held at once
}

#Counter: {
	parts: int & >=1 & <=64 | *2
	capacity: number & >0 | *650
	call: time.Duration | *"1ms"
	limit: time.Duration | *"30ms"
}

#Clients: {
	aim: time.Duration | *"1.2s"
	giveUp: time.Duration | *"4s"
	least: number & >0 & <=1 | *0.5
	retries: int & >=0 & <=10 | *2
	wait: time.Duration | *"500ms"
	heedAdvice: bool | *true
}

#Plan: {
	customers: int & >=0 & <=1000000 | *10
	// What each customer asks, as a part of its rate.
	use: number & >=0 | *0.5
	rate: number & >0
	burst: number & >0
	ceilingRate: number & >=0 | *0
	ceilingBurst: number & >=0 | *0
	pays: number & >=0 | *1
	overCost: number & >=0 | *0.5
}

#Trace: {
	file: string & !=""
	speed: number & >0 | *1
	scale: number & >0 | *1
	louder: bool | *false
	verbatim: bool | *false
}

#Fault: {
	kind: "fail-fast" | "slow" | "hang" | "vanish" | "reset" | "restart" | "spoil" | "counter-slow" | "counter-gone" | "counter-reset" | "discovery-silent" | "discovery-late"
	at: time.Duration
	for: time.Duration
	// The first so many nodes.
	nodes: int & >=0 | *0
	// A chance, a part of the pace, a multiple or seconds, as the kind means it.
	amount: number & >=0 | *1
}

#Variant: {
	// A checkout of the program to start the gateways from.
	tree?: string
	// Values put in place of the experiment's.
	set: {
		...
	}
}
