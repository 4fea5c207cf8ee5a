import type { Clock } from '../clock/mod.js';
import type { HostReport, EndedRun, ActiveRun, OrderResponse } from '../port/mod.js';
import { parseTaskId } from '../task/mod.js';
import { computeResourceRequest } from './computeResourceRequest.js';
import type { FaultyHostDetector } from './FaultyHostDetector.js';
import type { JobTable } from './JobTable.js';
import type { ManagedHost } from './ManagedHost.js';
import type { OrganisationUse } from './OrganisationUse.js';
import { Run } from './Run.js';
import { RunLimit } from './RunLimit.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';
import type { ScheduledJob } from './ScheduledJob.js';
import type { ShardOutput } from './ShardCommand.js';
import type { WorkUnit } from './WorkUnit.js';

/** Delay in ms after which an unanswered stop order is repeated. */
const STOP_RETRY_MS = 700;
/** Number of consecutive reports without a run after which the run counts as lost. */
const MIN_MISSED_REPORTS = 2;
/** Suspension in ms of a host that rejected a start for lack of resources it should have. */
const NO_ROOM_PAUSE_MS = 150;
/** Suspension in ms of a host that reported itself unhealthy or an order invalid. */
const UNHEALTHY_PAUSE_MS = 1_000;
/**
 * Maximum number of starts under way. It bounds the time of a planning round, in which the owner does
 * nothing else, and the time that a start waits for a connection to its host.
 */
const MAX_STARTS_UNDER_WAY = 1_000;
/** Time in ms for which a long-running run has to work until it counts as a good one. */
const MIN_LASTING_WORK_MS = 1_000;
/** Delay in ms before a task whose start was rejected is started again. */
const RETRY_PAUSE_MS = 50;

/** Collaborators of a `RunTracker`. */
export interface RunTrackerParts {
  jobs: JobTable;
  estimator: RunTimeEstimator;
  faultyHosts: FaultyHostDetector;
  output: ShardOutput;
  clock: Clock;
  use: OrganisationUse;
  /** Maximum duration of a stop in ms. */
  stopMs: number;
}

/** Outcome of an order, as far as it is known. */
export type OrderOutcome = OrderResponse | { type: 'unanswered' } | { type: 'unsent' };

/** What a reported outcome means for the owner: it may be fenced, or the host may be replaced. */
export type ReportResult = 'ok' | 'fenced' | 'other-life';

/**
 * Tracks each run from its start order until it has provably ended.
 *
 * A run occupies the resources of its task and prevents a start of the task on another host. This
 * lasts until the host reports the end, until the host has answered a stop and no longer lists the
 * run, or until the incarnation of the host has ended.
 */
export class RunTracker {
  readonly #jobs: JobTable;

  readonly #estimator: RunTimeEstimator;

  readonly #faultyHosts: FaultyHostDetector;

  readonly #output: ShardOutput;

  readonly #clock: Clock;

  readonly #stopMs: number;

  readonly #use: OrganisationUse;

  readonly #limit = new RunLimit();

  /** Runs whose start has been planned and has no outcome. */
  readonly #starting = new Set<Run>();

  /** Time of the last stop order for each run that a host lists and that no job needs. */
  readonly #unwantedStoppedAt = new Map<string, number>();

  constructor(parts: RunTrackerParts) {
    this.#clock = parts.clock;
    this.#stopMs = parts.stopMs;
    this.#jobs = parts.jobs;
    this.#estimator = parts.estimator;
    this.#faultyHosts = parts.faultyHosts;
    this.#output = parts.output;
    this.#use = parts.use;
  }

  /** Checks whether the runs that this owner tracks, and the starts under way, allow another start. */
  canStart(unit: WorkUnit): boolean {
    if (this.#starting.size >= MAX_STARTS_UNDER_WAY) return false;
    return this.#limit.canStart(unit.step.occurrence.job.id, unit.indexes.length);
  }

  /** Creates a run whose start is about to be ordered. */
  createRun(unit: WorkUnit, index: number, host: ManagedHost, number: number, now: number): Run {
    const run = new Run(unit, index, unit.step.formatTask(index), number, host, now);
    unit.runs.add(run);
    host.addRun(run, computeResourceRequest(unit.spec));
    this.#use.add(run);
    this.#limit.add(unit.step.occurrence.job.id);
    this.#starting.add(run);
    this.#jobs.recordStart(unit);
    return run;
  }

  /** Handles the outcome of a start order. */
  reportStart(run: Run, outcome: OrderOutcome, now: number): ReportResult {
    const { host } = run;
    this.#starting.delete(run);
    if (!host.runs.has(`${run.task}#${run.number}`)) return 'ok';
    if (outcome.type === 'unanswered' || outcome.type === 'unsent') {
      host.recordUnanswered();
      if (outcome.type === 'unsent') this.#release(run, now, RETRY_PAUSE_MS);
      else run.markUncertain();
      return 'ok';
    }
    host.recordResponse(outcome.clockMs, now);
    if (outcome.type === 'done') {
      if (run.state === 'starting') run.confirm(now);
      this.#jobs.recordBegin(run.unit);
      return 'ok';
    }
    this.#output.record({
      decision: 'start-refused',
      subject: run.task,
      inputs: { host: host.id, run: run.number, reason: outcome.reason },
    });
    return this.#handleRefusal(run, outcome.reason, now);
  }

  /** Discards a run whose start has not been ordered. */
  cancelStart(run: Run, now: number): void {
    if (run.host.runs.has(`${run.task}#${run.number}`)) this.#release(run, now, 0);
  }

  /** Orders the stop of a run, which continues to occupy resources until its end is known. */
  stop(run: Run, now: number, reason: string): void {
    const sinceMs = run.stopOrderedAt === undefined ? Infinity : now - run.stopOrderedAt;
    if (sinceMs < STOP_RETRY_MS) return;
    run.recordStop(now);
    this.#output.send({ type: 'stop', host: run.host, task: run.task, number: run.number });
    this.#output.record({
      decision: 'stop',
      subject: run.task,
      inputs: { host: run.host.id, run: run.number, reason },
    });
  }

  /** Handles the outcome of a stop order. */
  static reportStop(
    host: ManagedHost,
    { task, number }: { task: string; number: number },
    outcome: OrderOutcome,
    now: number,
  ): ReportResult {
    if (outcome.type === 'unanswered' || outcome.type === 'unsent') {
      host.recordUnanswered();
      return 'ok';
    }
    host.recordResponse(outcome.clockMs, now);
    if (outcome.type === 'refused') {
      if (outcome.reason === 'fenced') return 'fenced';
      return outcome.reason === 'other-life' ? 'other-life' : 'ok';
    }
    const run = host.findRun(task, number);
    if (run !== undefined) run.stopAnsweredAt ??= now;
    return 'ok';
  }

  /** Handles a report in response to a hold that was sent at `sentAt`. */
  reportHold(host: ManagedHost, report: HostReport, sentAt: number, now: number): void {
    host.recordResponse(report.clockMs, now);
    report.ended.forEach((end) => this.#handleEnd(host, end, now));
    const listed = new Set<Run>();
    // eslint-disable-next-line no-param-reassign -- the host is owned by the shard
    host.hasUnwantedRuns = false;
    report.running.forEach((one) => {
      const run = this.#handleListed(host, one, report.clockMs, now);
      if (run !== undefined) listed.add(run);
      // eslint-disable-next-line no-param-reassign -- the host is owned by the shard
      else host.hasUnwantedRuns = true;
    });
    // eslint-disable-next-line no-param-reassign -- the host is owned by the shard
    host.hasHiddenEnds = report.hasMoreEnds;
    if (host.hasHiddenEnds) return;
    [...host.runs.values()].forEach((run) => {
      if (listed.has(run)) return;
      // The run ended with the former incarnation of the host.
      if (host.isRestarting && run.isConfirmedBefore(sentAt)) this.#release(run, now, 0);
      else this.#handleUnlisted(run, sentAt, now);
    });
    host.finishRestart();
  }

  /** Releases all runs of a host, once none of them can exist any more. */
  releaseAll(host: ManagedHost, now: number): void {
    [...host.runs.values()].forEach((run) => this.#release(run, now, 0));
  }

  /** Repeats the unanswered stop orders for the runs of a host. */
  retryStops(host: ManagedHost, now: number): void {
    host.runs.forEach((run) => {
      if (run.state === 'running' || run.state === 'starting') return;
      if (run.stopOrderedAt === undefined || run.stopAnsweredAt !== undefined) return;
      if (now - run.stopOrderedAt >= STOP_RETRY_MS) this.stop(run, now, 'repeat');
    });
  }

  /** Stops all runs of a finished job. */
  stopJob(job: ScheduledJob, now: number, reason: string): void {
    job.collectRuns().forEach((run) => {
      if (run.state !== 'stopping') this.stop(run, now, reason);
    });
  }

  #handleRefusal(run: Run, reason: string, now: number): ReportResult {
    const { host } = run;
    const isUncertain = run.state === 'uncertain';
    if (reason === 'fenced') return 'fenced';
    if (!isUncertain || reason === 'superseded') this.#release(run, now, RETRY_PAUSE_MS);
    if (reason === 'no-room') host.suspend(now + NO_ROOM_PAUSE_MS);
    if (reason === 'unhealthy' || reason === 'invalid') {
      host.suspend(now + UNHEALTHY_PAUSE_MS);
    }
    return reason === 'other-life' ? 'other-life' : 'ok';
  }

  #handleListed(
    host: ManagedHost,
    listed: ActiveRun,
    clockMs: number,
    now: number,
  ): Run | undefined {
    const run = host.findRun(listed.task, listed.run) ?? this.#adopt(host, listed, now);
    if (run === undefined) return undefined;
    run.update(listed, now);
    this.#jobs.recordBegin(run.unit);
    const { spec, step } = run.unit;
    if (spec.isLasting) this.#reportLasting(run, now);
    else {
      const estimateMs = this.#estimator.estimate(step.occurrence.job.queue.name, spec);
      run.progress.record(listed.percent, clockMs, {
        typicalMs: step.findMedianRunTime(),
        estimateMs,
      });
    }
    return run;
  }

  /** Reports a long-running run as good once it has worked for a while; it never ends as done. */
  #reportLasting(run: Run, now: number): void {
    if (run.isKnownGood || run.percent === 0) return;
    if (run.startedAt === undefined || now - run.startedAt < MIN_LASTING_WORK_MS) return;
    run.markKnownGood();
    this.#faultyHosts.reportSuccess(run.host, now);
  }

  /** Adopts a run that was started by a previous owner or by a delayed order, or stops it. */
  #adopt(host: ManagedHost, listed: ActiveRun, now: number): Run | undefined {
    const id = parseTaskId(listed.task);
    const unit =
      id === undefined ? undefined : this.#jobs.findUnit(id.job, id.occurrence, id.step, id.index);
    if (id === undefined || unit === undefined || !RunTracker.#canAdopt(unit, id.index, listed)) {
      this.#stopUnwanted(host, listed, now);
      return undefined;
    }
    unit.lastRunNumber = Math.max(unit.lastRunNumber, listed.run);
    const run = this.createRun(unit, id.index, host, listed.run, now);
    run.adopt(now + this.#stopMs);
    run.confirm(now);
    this.#starting.delete(run);
    this.#output.record({
      decision: 'run-adopted',
      subject: listed.task,
      inputs: { host: host.id, run: listed.run },
    });
    return run;
  }

  static #canAdopt(unit: WorkUnit, index: number, { run: number }: ActiveRun): boolean {
    if (unit.isDone) return false;
    const others = [...unit.runs];
    if (unit.spec.gang) {
      return others.every((run) => run.number === number && run.index !== index);
    }
    return others.length === 0;
  }

  #stopUnwanted(host: ManagedHost, { task, run: number }: ActiveRun, now: number): void {
    const key = `${host.id}#${task}#${number}`;
    const last = this.#unwantedStoppedAt.get(key);
    if (last !== undefined && now - last < STOP_RETRY_MS) return;
    this.#unwantedStoppedAt.set(key, now);
    this.#output.send({ type: 'stop', host, task, number });
    this.#output.record({
      decision: 'stop',
      subject: task,
      inputs: { host: host.id, run: number, reason: 'not-wanted' },
    });
  }

  #handleUnlisted(run: Run, sentAt: number, now: number): void {
    if (run.state === 'starting' || sentAt <= run.seenAt) return;
    if (run.state === 'uncertain') {
      if (run.stopOrderedAt === undefined) this.stop(run, now, 'start-unanswered');
      else if (run.stopAnsweredAt !== undefined && sentAt > run.stopAnsweredAt) {
        this.#release(run, now, 0);
      }
      return;
    }
    if (run.recordMissedReport() < MIN_MISSED_REPORTS) return;
    if (run.stopAnsweredAt !== undefined && sentAt > run.stopAnsweredAt) this.#release(run, now, 0);
    else this.stop(run, now, 'not-listed');
  }

  #handleEnd(host: ManagedHost, end: EndedRun, now: number): void {
    if (!host.acceptEnd(end.sequence)) return;
    this.#unwantedStoppedAt.delete(`${host.id}#${end.task}#${end.run}`);
    const run = host.findRun(end.task, end.run);
    const id = parseTaskId(end.task);
    const unit =
      run?.unit ??
      (id === undefined
        ? undefined
        : this.#jobs.findUnit(id.job, id.occurrence, id.step, id.index));
    if (unit === undefined) return;
    // A previous owner may have started the run without recording any progress of the job.
    this.#jobs.recordBegin(unit);
    unit.lastRunNumber = Math.max(unit.lastRunNumber, end.run);
    if (end.checkpoint !== '' && unit.spec.checkpoints) unit.checkpoint = end.checkpoint;
    if (end.outcome === 'done') this.#handleDone(host, unit, run, now);
    if (end.outcome === 'failed') this.#handleFailed(host, unit, end.run, now);
    if (run !== undefined) this.#release(run, now, 0);
  }

  #handleDone(host: ManagedHost, unit: WorkUnit, run: Run | undefined, now: number): void {
    this.#faultyHosts.reportSuccess(host, now);
    if (unit.spec.isLasting || unit.isDone) return;
    const { queue } = unit.step.occurrence.job;
    const runMs = run?.computeAge(now);
    if (runMs !== undefined && unit.checkpoint === '') {
      this.#estimator.report(queue.name, unit.spec, runMs);
      unit.step.recordRunTime(runMs);
    }
    this.#jobs.finishUnit(unit, this.#clock.readWall());
    unit.runs.forEach((other) => {
      if (other !== run && other.state !== 'stopping') this.stop(other, now, 'copy-finished');
    });
  }

  #handleFailed(host: ManagedHost, unit: WorkUnit, number: number, now: number): void {
    if (unit.failedRuns.has(number)) return;
    const { job } = unit.step.occurrence;
    unit.avoidedMachines.add(host.machine);
    const suspensionMs = this.#faultyHosts.reportFailure(host, job.id, now);
    this.#output.record({
      decision: 'run-failed',
      subject: `${unit.step.id}.${unit.indexes[0] ?? 0}`,
      inputs: { host: host.id, failures: unit.failures + 1, suspensionMs },
    });
    if (unit.spec.isLasting || unit.isDone || job.finalState !== undefined) return;
    if (this.#jobs.failUnit(unit, number, this.#clock.readWall()))
      this.stopJob(job, now, 'job-failed');
  }

  #release(run: Run, now: number, pauseMs: number): void {
    const { unit, host } = run;
    this.#use.remove(run);
    this.#starting.delete(run);
    this.#limit.remove(unit.step.occurrence.job.id);
    host.removeRun(run, computeResourceRequest(unit.spec), now);
    unit.runs.delete(run);
    unit.notBefore = Math.max(unit.notBefore, now + pauseMs);
    unit.readySince = now;
    unit.step.units.prune(unit);
    unit.step.occurrence.job.markChanged(unit);
    if (run.checkpoint !== '' && unit.spec.checkpoints && unit.checkpoint === '') {
      unit.checkpoint = run.checkpoint;
    }
  }
}
