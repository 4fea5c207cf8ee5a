import { ProcessStatus, type SessionState } from '../fleet/mod.js';
import { createControllerClient } from './ControllerClient.js';

const STATUS_TIMEOUT_MS = 2_000;

/** Revisions in use by all processes. Times are in milliseconds. */
export interface Rollout {
  /** The requested revision, or by default the current one of the querying controller. */
  revision: number;
  processes: ProcessStatus[];
  /** Sessions whose process did not answer in time. */
  missing: { session: string; role: string; dataCentre: string; address: string; reason: string }[];
  /** Sessions whose process answered with a revision below the requested one. */
  behind: string[];
  /**
   * Maximum time from the append of the change until a process applied it. The clocks of the
   * platform and of the processes may differ by some milliseconds.
   */
  tookMs?: number;
}

async function queryStatus(session: SessionState, revision: number): Promise<ProcessStatus> {
  const address = session.role === 'controller' ? session.address : session.peerAddress;
  const client = createControllerClient(address);
  const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
  const status = ProcessStatus.parse(await client.status.query({ revision }, { signal }));
  if (status.session === session.session) return status;
  throw new Error(`session "${status.session}" answers at this address`);
}

/**
 * Queries every process with an open session, concurrently, for its offset and revision.
 *
 * @example
 * ```ts
 * const { missing, behind } = await queryRollout(sessions, 42);
 * ```
 */
export async function queryRollout(sessions: SessionState[], revision: number): Promise<Rollout> {
  const answers = await Promise.allSettled(
    sessions.map((openSession) => queryStatus(openSession, revision)),
  );
  const processes = answers.flatMap((reply) => (reply.status === 'fulfilled' ? [reply.value] : []));
  const missing = answers.flatMap((reply, index) => {
    const session = sessions[index];
    if (reply.status === 'fulfilled' || session === undefined) return [];
    const { role, dataCentre, address } = session;
    const reason = (reply.reason as Error).message;
    return [{ session: session.session, role, dataCentre, address, reason }];
  });
  const times = processes.flatMap(({ change }) =>
    change ? [change.foldedAt - change.appendedAt] : [],
  );
  return {
    revision,
    processes,
    missing,
    behind: processes
      .filter((status) => status.revision < revision)
      .map((status) => status.session),
    tookMs: times.length > 0 ? Math.max(...times) : undefined,
  };
}
