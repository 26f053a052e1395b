package record

import (
	"strconv"
	"strings"
)

// Kind is the first part of a key. It identifies the kind of record that the key stores.
type Kind string

// The kinds of keys.
const (
	KindJob          Kind = "j" // j/<job>: a job, written at submission and when it becomes ready
	KindRun          Kind = "r" // r/<job>/<segment>: which tasks may be on which machine, and which are done
	KindTerminal     Kind = "f" // f/<job>: how a job ended; created once, never changed
	KindRetry        Kind = "e" // e/<job>: how many attempts of a job have failed; the first version ignores it
	KindUpstreamPage Kind = "u" // u/<job>/<page>: a part of a long list of upstream jobs
	KindVersion      Kind = "v" // v/<controller>: the controller has run this version
)

// JobIDPrefix is the prefix of all job IDs. Pages of upstream jobs omit it.
const JobIDPrefix = "req-"

// VersionValue is the value of a version key. It shows permanently that the controller runs
// this version, which can read run records in the compact format.
var VersionValue = []byte(`{"v":3}`)

// JobKey returns the key of a job's record.
func JobKey(job string) string { return string(KindJob) + "/" + job }

// RunKey returns the key of the run record of one segment of a job's tasks.
func RunKey(job string, segment int) string { return numberedKey(KindRun, job, segment) }

// TerminalKey returns the key of a job's terminal record.
func TerminalKey(job string) string { return string(KindTerminal) + "/" + job }

// RetryKey returns the key of a job's retry state.
func RetryKey(job string) string { return string(KindRetry) + "/" + job }

// UpstreamPageKey returns the key of one page of a job's list of upstream jobs. The
// revision of page 0 identifies the submission attempt: the writes of the other pages and
// of the job's record are conditional on it.
func UpstreamPageKey(job string, page int) string {
	return numberedKey(KindUpstreamPage, job, page)
}

// VersionKey returns the key that records that a controller runs this version.
func VersionKey(controller string) string { return string(KindVersion) + "/" + controller }

func numberedKey(kind Kind, job string, number int) string {
	return string(kind) + "/" + job + "/" + strconv.Itoa(number)
}

// SplitNumberedKey splits <job>/<number>, the part after the kind in the key of a segment or
// page. It reports false for any other form.
func SplitNumberedKey(rest string) (job string, number int, ok bool) {
	slash := strings.LastIndexByte(rest, '/')
	if slash < 0 {
		return "", 0, false
	}
	number, err := strconv.Atoi(rest[slash+1:])
	return rest[:slash], number, err == nil && number >= 0
}
