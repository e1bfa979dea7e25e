// Package jobs defines the job types shared by all packages: what resources a job requests,
// which machine types can run it, and in which order jobs are scheduled.
//
// The package is stateless. It is the only place that maps the field names used by users and
// by the cloud, in the struct tags of Spec and MachineType and in Parse. It must never change
// a job after its submission was accepted, because Spec is also the stored form.
package jobs
