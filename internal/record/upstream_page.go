package record

import "strings"

// pageIDOverheadBytes is the number of bytes to reserve for an ID in addition to its length:
// the space before the ID and the closing quote of the page.
const pageIDOverheadBytes = 2

// EncodeUpstreamPages returns the stored form of a list of upstream jobs, split into pages
// of at most maxPageBytes bytes.
func EncodeUpstreamPages(jobs []string, maxPageBytes int) (pages [][]byte) {
	page := []byte{'"'}
	for _, job := range jobs {
		job = strings.TrimPrefix(job, JobIDPrefix)
		if len(page) > 1 && len(page)+len(job)+pageIDOverheadBytes > maxPageBytes {
			pages = append(pages, append(page, '"'))
			page = []byte{'"'}
		}
		if len(page) > 1 {
			page = append(page, ' ')
		}
		page = append(page, job...)
	}
	return append(pages, append(page, '"'))
}

// DecodeUpstreamPage returns the IDs of the jobs in a page. An error is a *DecodeError.
func DecodeUpstreamPage(data []byte) (jobs []string, err error) {
	var text string
	if err := unmarshal(KindUpstreamPage, "", data, &text); err != nil {
		return nil, err
	}
	for _, job := range strings.Fields(text) {
		jobs = append(jobs, JobIDPrefix+job)
	}
	return jobs, nil
}
