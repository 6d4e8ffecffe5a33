// What `latchspoke fleet --fleet FILE` is told.
package fleet

import "time"

#Fleet: {
	// By the agents' names.
	agents: [=~"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"]: #Agent

	// The operator's certificate, for agents on TCP.
	identity?: {
		certificate: string
		key: string
		authority: string
	}

	// One agent may take so long for an answer before it counts as silent.
	limit: time.Duration | *"2s"
	// How many agents are asked at once.
	parallel: int & >0 & <=1024 | *64
}

#Agent: {socket: string & !=""} | {address: =~"^.+:[0-9]+$"}
