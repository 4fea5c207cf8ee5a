/**
 * Worker of `largeJob.test`: schedules a job of 400,000 tasks and a usual one, with the memory that
 * the test allows, and posts how many tasks of the usual job start.
 *
 * @module
 */
import { parentPort } from 'node:worker_threads';
import { buildTrackedJob, ScheduleRig } from './ScheduleRig.js';

const STEPS = 40;
const TASKS_PER_STEP = 10_000;

const rig = new ScheduleRig();
rig.addHost('h1');
const step = { cpuMilli: 1_000, estimateMs: 500 };
const steps = Array.from({ length: STEPS }, (_, index) => ({
  ...step,
  count: TASKS_PER_STEP,
  after: index === 0 ? [] : [index - 1],
}));
rig.shard.addJob(buildTrackedJob('large', steps));
rig.startAll();
rig.addHost('h2');
rig.shard.addJob(buildTrackedJob('usual', [{ ...step, count: 4 }]));
const started = rig.startAll().filter(({ task }) => task.startsWith('usual.'));
rig.shard.takeDirtyJobs().forEach((job) => job.describeProgress(1));
parentPort?.postMessage(started.length);
