package record

import "strings"

// pageIDOverhead is what an ID adds to a page beside itself, in bytes: the space before
// it and the quote that ends the page.
const pageIDOverhead = 2

// EncodeUpstreamPages returns the stored form of a list of upstream jobs, in pages of at
// most limit bytes.
func EncodeUpstreamPages(jobs []string, limit int) (pages [][]byte) {
	page := []byte{'"'}
	for _, job := range jobs {
		job = strings.TrimPrefix(job, JobIDPrefix)
		if len(page) > 1 && len(page)+len(job)+pageIDOverhead > limit {
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

// DecodeUpstreamPage returns the IDs of the jobs that a page lists. An error is a
// *DecodeError.
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
