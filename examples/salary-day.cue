// Salary day in small: all unions of one plan ask for several times their usual while some nodes fail
// fast and the counter is slow. Two worlds side by side, with the troubles and without.
package lab

name: "Salary day"
duration: "30s"
repeats: 2

gateways: count: 3
nodes: count: 12

plans: {
	mala: {
		customers: 35
		use: 0.8
		rate: 0.8
		burst: 3.6
		pays: 0.5
	}
	srednia: {
		customers: 16
		use: 0.8
		rate: 1.5
		burst: 6.5
		pays: 0.8
	}
	duza: {
		customers: 5
		use: 1.6
		rate: 4.8
		burst: 9
		ceilingRate: 9.6
		ceilingBurst: 18
		pays: 1.2
	}
	pelna: {
		customers: 2
		use: 0.8
		rate: 12
		burst: 22
		pays: 1.6
	}
}

variants: {
	calm: {}
	troubled: set: faults: [
		{
			kind: "fail-fast"
			at: "8s"
			for: "10s"
			nodes: 2
			amount: 0.7
		},
		{
			kind: "counter-slow"
			at: "14s"
			for: "8s"
			amount: 5
		},
	]
}
