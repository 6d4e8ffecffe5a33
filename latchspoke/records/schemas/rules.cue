// What `latchspoke rules put FILE` is told: one document of rules, whole.
package rules

import "time"

#Rules: {
	name: "plans" | "blocked" | "aside"

	// How long a gateway may act under a version without a further word. T grows with it.
	length: time.Duration | *"10s"

	// What holds at a gateway whose right has ended: go on, go by the strictest that it may have to, or refuse all.
	lapse: *"keep" | "strict" | "refuse"

	// Of plans: figures by which a lapsed gateway goes where they are stricter. No version may go below them.
	least: [string]: number & >=0

	// PLAN.FIGURE: number; of the lists a customer's key or a server's name, with the reason.
	entries: [string]: number | string
}
