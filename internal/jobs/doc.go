// Package jobs is the vocabulary that all packages share: what a job asks for, which
// machines can give it, and in which order jobs are served.
//
// It holds no state. The names that users and the cloud send are mapped here, once: in the
// tags of Spec and MachineType and by Parse. It must never change a job after its
// submission was accepted, since Spec is also the stored form.
package jobs
