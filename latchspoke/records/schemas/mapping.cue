// Where `latchspoke trace import --map FILE` finds whose a recorded request is.
package mapping

import "time"

#Mapping: {
	// A name, or a gateway's key in hex digits.
	customer: #Source | *#Source & {query: "key"}
	plan: #Source | *#Source & {header: "X-Tier"}

	// The class; the first part of the path unless told otherwise.
	kind: #Source | *#Source & {path: 0}

	// Of which gateway; what --gateway names where this is empty.
	gateway: #Source | *#Source & {field: "gateway"}
	units?: #Source
	deadline: #Source | *#Source & {header: "Req-Deadline"}

	// An id that all attempts of one try share, where there is one.
	tryId?: #Source

	// Not empty, 0 or - on attempts that the client marks as retries.
	marked: #Source | *#Source & {header: "Req-Retry"}

	// An entry repeats an earlier one within this time after that one's end.
	giveUp: time.Duration | *"4s"
	retries: int & >=0 & <=100 | *2

	// Only entries whose path and query fit this expression.
	keep: string | *""
}

#Source: {query: string} | {header: string} | {field: string} | {path: int & >=0} | {constant: string}
