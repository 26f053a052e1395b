package record

import (
	"strconv"
	"strings"
)

// Kind is the first part of a key and tells what is stored there.
type Kind string

// The kinds of keys.
const (
	KindJob          Kind = "j" // j/<job>: a job, written at submission and when it becomes ready
	KindRun          Kind = "r" // r/<job>/<segment>: which tasks may run where, which are done
	KindTerminal     Kind = "f" // f/<job>: how a job ended; created once, never changed
	KindRetry        Kind = "e" // e/<job>: how often a job has failed; the first version ignores it
	KindUpstreamPage Kind = "u" // u/<job>/<page>: a part of a long list of upstream jobs
	KindVersion      Kind = "v" // v/<controller>: a controller has run this version
)

// JobIDPrefix begins the IDs of all jobs. Stored lists leave it out.
const JobIDPrefix = "req-"

// Version is the value by which a controller shows, for good, that it runs this version,
// which reads run records in the compact format.
var Version = []byte(`{"v":3}`)

// JobKey returns the key of a job's record.
func JobKey(job string) string { return string(KindJob) + "/" + job }

// RunKey returns the key of one segment of a job's run record.
func RunKey(job string, segment int) string { return numberedKey(KindRun, job, segment) }

// TerminalKey returns the key of a job's terminal record.
func TerminalKey(job string) string { return string(KindTerminal) + "/" + job }

// RetryKey returns the key of a job's retry state.
func RetryKey(job string) string { return string(KindRetry) + "/" + job }

// UpstreamPageKey returns the key of a page of a job's list of upstream jobs. The
// revision of page 0 identifies the attempt to submit the job: the other pages and the
// job's record are written on condition of it.
func UpstreamPageKey(job string, page int) string {
	return numberedKey(KindUpstreamPage, job, page)
}

// VersionKey returns the key at which a controller shows that it runs this version.
func VersionKey(controller string) string { return string(KindVersion) + "/" + controller }

func numberedKey(kind Kind, job string, number int) string {
	return string(kind) + "/" + job + "/" + strconv.Itoa(number)
}

// SplitNumbered splits what follows the kind in the key of a segment or page, which is
// <job>/<number>. It reports false for a key of another form.
func SplitNumbered(rest string) (job string, number int, ok bool) {
	slash := strings.LastIndexByte(rest, '/')
	if slash < 0 {
		return "", 0, false
	}
	number, err := strconv.Atoi(rest[slash+1:])
	return rest[:slash], number, err == nil && number >= 0
}
