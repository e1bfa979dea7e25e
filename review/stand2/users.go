package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// status is what a user is told of a job.
type status struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

var (
	submitClient = &http.Client{Timeout: 5 * time.Second}
	pollClient   = &http.Client{Timeout: 2 * time.Second}
)

// request sends a request to the first controller, from the given one on, that takes the connection.
func (w *world) request(client *http.Client, first int, method, path string, body []byte) (code int, answer []byte) {
	for i := range w.controllers {
		c := w.controllers[(first+i)%len(w.controllers)]
		r, err := http.NewRequest(method, "http://"+c.serveOn+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		response, err := client.Do(r)
		if err != nil {
			continue
		}
		answer, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			return response.StatusCode, answer
		}
	}
	return 0, nil
}

// submit submits a job as a user does, for up to a minute, and reports whether it was accepted.
func (w *world) submit(j *job) bool {
	w.mu.Lock()
	w.jobs[j.ID] = j // users upload the description
	w.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	end := time.Now().Add(time.Minute)
	for try := 0; time.Now().Before(end); try++ {
		code, answer := w.request(submitClient, try, "POST", "/work", body)
		w.record.note("user: POST /work %s (%s, %s, %d x %g cpus): %d %s", j.ID, j.Lane, j.Shape, j.Pieces, j.CPUs, code, answer)
		switch code {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(1100 * time.Millisecond)
	}
	return false
}

// poll asks for a job once.
func (w *world) poll(first int, id string) (code int, s status) {
	code, answer := w.request(pollClient, first, "GET", "/work/"+id, nil)
	_ = json.Unmarshal(answer, &s)
	w.record.note("user: GET /work/%s: %d %s", id, code, answer)
	return code, s
}

// cancelJob cancels a job as a user does, and reports whether that was confirmed.
func (w *world) cancelJob(id string) bool {
	end := time.Now().Add(time.Minute)
	for try := 0; time.Now().Before(end); try++ {
		code, answer := w.request(submitClient, try, "POST", "/work/"+id+"/cancel", nil)
		w.record.note("user: cancel %s: %d %s", id, code, answer)
		if code == 200 {
			w.mu.Lock()
			w.cancelledAt[id] = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(1100 * time.Millisecond)
	}
	return false
}

// waitUntilReady waits until all controllers take requests.
func (w *world) waitUntilReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for _, c := range w.controllers {
			response, err := pollClient.Get("http://" + c.serveOn + "/up")
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == 200 {
				ready++
			}
		}
		if ready == len(w.controllers) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
