package taskstate

// unreadableRecords holds the keys of stored records that cannot be decoded, by job ID. A key
// stays until it is deleted: a leader that has already passed over the record would not learn
// what it names if its value were replaced.
type unreadableRecords map[string]map[string]bool

// add adds the key of a record of a job.
func (u unreadableRecords) add(key, jobID string) {
	if u[jobID] == nil {
		u[jobID] = map[string]bool{}
	}
	u[jobID][key] = true
}

// remove removes a key, if it is among the keys of the job.
func (u unreadableRecords) remove(key, jobID string) {
	delete(u[jobID], key)
	if len(u[jobID]) == 0 {
		delete(u, jobID)
	}
}

// retain removes the keys that are not listed any more.
func (u unreadableRecords) retain(listed map[string]bool) {
	for jobID, keys := range u {
		for key := range keys {
			if !listed[key] {
				u.remove(key, jobID)
			}
		}
	}
}
