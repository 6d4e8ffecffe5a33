// What `latchspoke agent --config FILE` is told.
package agent

import "time"

#Agent: {
	// The agent's own name; ids of its instances are name/instance.
	name: =~"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"

	// What it has promised, the sockets of its instances, and their logs.
	folder: string & !=""

	// A Unix socket for operators on this machine; in the folder unless named.
	socket: *"\(folder)/agent.sock" | string

	// Also on TCP, always TLS 1.3 with certificates on both sides.
	tls?: {
		listen: =~"^.+:[0-9]+$"
		certificate: string
		key: string
		authority: string
	}

	// Who may act through the Unix socket: its file's owner is an operator.
	checks: {
		interval: time.Duration | *"0.5s"
		limit: time.Duration | *"1s"
	}

	// One of the members of the replicated log, by which duties have one holder at a time.
	members?: {
		peers: [=~"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"]: =~"^.+:[0-9]+$"
		first: bool | *false // founds the group, alone at first, where its store is empty
		beat: time.Duration | *"100ms"
		election: time.Duration | *"1s" // a follower stands after so long to twice that
		drift: number & >0 & <0.2 | *0.02 // how much faster or slower any clock may run
		tls: bool | *false // between members, by the certificate in `tls`; needed beyond loopback

		// The program's own duties, which one of the agents that name them holds at a time.
		duties?: {
			fleet: string & !="" // the file that names the whole fleet's agents
			resume: bool | *true // go on with operations whose tool has died
			census: bool | *true // compare the whole fleet, and put on record what differs
			length: time.Duration | *"10s" // of a grant
			every: time.Duration | *"30s" // between two looks at the fleet
			quiet: time.Duration | *"10s" // without any claim, an operation counts as left
		}
	}

	instances: [=~"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"]: #Instance
}

#Instance: {
	// The configuration that GW_CONFIG names.
	config: string & !=""
	zone: *"" | string
	listen: =~"^.+:[0-9]+$"
	discovery?: =~"^.+:[0-9]+$"

	// Whether the agent starts it by itself when it first sees it.
	start: bool | *true
	environment: [string]: string

	// Goes by the rules on which the members agree; not at all unless this is here.
	rules?: {
		members: [...string] | *[] // agents' sockets to ask; this agent's own where none is named
		start: *"wait" | "known" // where no member is heard: wait, or begin on the rules last known
	}

	// In place of this Python and `-m latchspoke serve`; --admin is added to it.
	command?: [string, ...string]
	limits: #Limits
}

#Limits: {
	start: time.Duration | *"10s" // until it must be ready
	drain: time.Duration | *"4s" // the longest deadline; counted as 3s at least
	margin: time.Duration | *"700ms" // no SIGKILL before drain and this
	silent: time.Duration | *"3s" // without an answer it is silent
	pause: time.Duration | *"500ms" // before the first restart; twice as long before each further one
	pauseMost: time.Duration | *"30s"
	crashes: int & >0 & <=100 | *5 // ends in a row before it is given up
	settle: time.Duration | *"60s" // ready for so long, earlier ends are forgotten
}
