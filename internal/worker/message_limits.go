package worker

import "strconv"

// The protocol limits the body of a request, and a line of a response, to 64 KiB.
const (
	maxMessageBytes = 64 << 10
	// envelopeBytes is reserved for what a message holds beside its commands.
	envelopeBytes = 256
	// maxCommandsBytes is the maximum size of the encoded commands of a message.
	maxCommandsBytes = maxMessageBytes - envelopeBytes
)

// MaxTasksPerMachine is the maximum number of tasks that are assigned to a machine. Their
// statuses, of at most 125 bytes each, then fit in one heartbeat.
const MaxTasksPerMachine = 500

// Maximum sizes of the parts of an encoded command beside its verb, task and attempt.
const (
	commandSyntaxBytes = len(`{"verb":"","shard":"","try":},`)
	gracePeriodBytes   = len(`,"wind_down_s":`) + 24 // digits of a number
)

// encodedBytes returns the maximum size of an encoded command.
func (c *Command) encodedBytes() int {
	size := commandSyntaxBytes + len(c.Verb) + len(c.Task) + len(strconv.FormatUint(c.Attempt, 10))
	if c.GracePeriod != nil {
		size += gracePeriodBytes
	}
	return size
}

// limitCommands returns the longest prefix of a list of commands that fits in the given number
// of bytes, and the bytes that are left.
func limitCommands(commands []Command, limit int) (fitting []Command, left int) {
	for i := range commands {
		size := commands[i].encodedBytes()
		if size > limit {
			return commands[:i], limit
		}
		limit -= size
	}
	return commands, limit
}
