import { HealthCheckPlanner } from './HealthCheckPlanner.js';
import type { ManagedHost } from './ManagedHost.js';
import type { RunTracker } from './RunTracker.js';
import type { ShardOutput } from './ShardCommand.js';
import { SlowHostDetector } from './SlowHostDetector.js';

/**
 * Handles hosts that are slow or may be unhealthy: suspends them, stops their stuck runs so that
 * the tasks are restarted on other hosts, and requests health checks.
 */
export class HostMonitor {
  readonly #runTracker: RunTracker;

  readonly #output: ShardOutput;

  readonly #healthChecks = new HealthCheckPlanner();

  constructor(runTracker: RunTracker, output: ShardOutput) {
    this.#runTracker = runTracker;
    this.#output = output;
  }

  /** Evaluates the last report of a host; `healthPath` is undefined if it has no health check. */
  handleReport(host: ManagedHost, healthPath: string | undefined, now: number): void {
    this.#suspendSlow(host, now);
    if (healthPath === undefined || !this.#healthChecks.startCheck(host, now)) return;
    this.#output.send({ type: 'check-health', host, path: healthPath });
  }

  /** Handles the result of a health check; undefined if the host did not respond. */
  reportHealth(host: ManagedHost, isWell: boolean | undefined, now: number): void {
    const pauseMs = HealthCheckPlanner.computePause(host, isWell, now);
    this.#output.record({
      decision: 'host-health',
      subject: host.id,
      inputs: { isWell, failuresInRow: host.failuresInRow, pauseMs },
    });
    if (pauseMs > 0) host.suspend(now + pauseMs);
  }

  /** Removes the state of a host. */
  remove(host: ManagedHost): void {
    this.#healthChecks.remove(host);
  }

  #suspendSlow(host: ManagedHost, now: number): void {
    const plan = SlowHostDetector.plan(host, now);
    if (plan === undefined) return;
    if (host.suspendedUntil <= now) {
      this.#output.record({
        decision: 'host-slow',
        subject: host.id,
        inputs: { machine: host.machine, runs: host.runs.size, restarts: plan.restarts.length },
      });
    }
    host.suspend(plan.suspendedUntil);
    plan.restarts.forEach((run) => {
      run.unit.avoidedMachines.add(host.machine);
      this.#runTracker.stop(run, now, 'host-slow');
    });
  }
}
