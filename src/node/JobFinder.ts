import { JobState } from '../workLog/mod.js';
import type { QueueConfig } from '../port/mod.js';
import type { NodeContext } from './NodeContext.js';
import type { RelayClient } from './RelayClient.js';
import type { JobLookup, WorkLogFollower } from './WorkLogFollower.js';

/** A job that is not finished is looked up again if the state is older than this, in ms. */
const MAX_ACTIVE_STATE_AGE_MS = 60;
/** Maximum age in ms of the state from which calls are answered. */
export const MAX_STATE_AGE_MS = 1_500;
/** Interval in ms at which the view is checked while the work log catches up. */
const CATCH_UP_POLL_INTERVAL_MS = 30;

/** State of a job, from a view that is current or, if `isCurrent` is false, unknown. */
export interface CurrentState {
  /** Undefined if no job of the queue has the identifier. */
  state: JobState | undefined;
  isCurrent: boolean;
  /** The identifier belongs to a job of another queue. */
  hasOtherQueue: boolean;
  /** Organisation to which the job belongs. */
  organisation: string | undefined;
}

/** Finds jobs in the work log of this node, or through other nodes while it does not catch up. */
export class JobFinder {
  readonly #context: NodeContext;

  readonly #workLog: WorkLogFollower;

  readonly #relay: RelayClient;

  constructor(
    context: NodeContext,
    { workLog, relay }: { workLog: WorkLogFollower; relay: RelayClient },
  ) {
    this.#context = context;
    this.#workLog = workLog;
    this.#relay = relay;
  }

  /** Looks a job up in the view of this node as it is. */
  find(id: string): Promise<JobLookup> {
    return this.#workLog.ask<JobLookup>((reply) => ({ type: 'find', id, reply }));
  }

  /** Finds a job, querying other nodes if the work log of this one does not catch up. */
  async findCurrent(id: string, queue: QueueConfig): Promise<CurrentState> {
    const found = await this.findAfterCatchUp(id, MAX_STATE_AGE_MS);
    if (found === undefined) return this.#findOnPeers(id, queue);
    return JobFinder.#toCurrentState(found, queue);
  }

  /**
   * Finds a job. A job that is not in the view may just have been accepted by another node, so this
   * waits until the follower has read the log up to the time of the call. Returns undefined if that
   * takes longer than `timeoutMs` or the last read failed.
   */
  async findAfterCatchUp(id: string, timeoutMs: number): Promise<JobLookup | undefined> {
    const calledAt = this.#context.clock.readMonotonic();
    let hasReadAgain = false;
    for (;;) {
      const lookup = await this.find(id);
      const { follow } = lookup;
      if (lookup.state !== undefined) {
        // One read more shows whether the job has finished; callers do not wait longer for it.
        const isFresh = follow.freshAt >= calledAt - MAX_ACTIVE_STATE_AGE_MS;
        const isActive = lookup.state === 'queued' || lookup.state === 'running';
        if (!isActive || isFresh || hasReadAgain || !follow.isInContact) return lookup;
      }
      if (follow.isCurrent && follow.freshAt >= calledAt) return lookup;
      const waitedMs = this.#context.clock.readMonotonic() - calledAt;
      if (!follow.isInContact || waitedMs > timeoutMs) return undefined;
      this.#workLog.send({ type: 'read-now' });
      hasReadAgain = true;
      await new Promise((resolve) => {
        setTimeout(resolve, CATCH_UP_POLL_INTERVAL_MS);
      });
    }
  }

  /** Queries other nodes for the state of a job. */
  async #findOnPeers(id: string, queue: QueueConfig): Promise<CurrentState> {
    const found = await this.#relay.findState(id);
    if (found === undefined) {
      return { state: undefined, isCurrent: false, hasOtherQueue: false, organisation: undefined };
    }
    const lookup = {
      state: JobState.safeParse(found.state).data,
      queue: found.queue ?? undefined,
      organisation: found.organisation ?? undefined,
    };
    return JobFinder.#toCurrentState(lookup, queue);
  }

  static #toCurrentState(
    { state, queue, organisation }: Omit<JobLookup, 'follow'>,
    { name }: QueueConfig,
  ): CurrentState {
    const hasOtherQueue = queue !== undefined && queue !== name;
    return {
      state: hasOtherQueue ? undefined : state,
      isCurrent: true,
      hasOtherQueue,
      organisation,
    };
  }
}
