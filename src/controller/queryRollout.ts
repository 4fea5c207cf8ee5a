import { ProcessStatus, type SessionState } from '../fleet/mod.js';
import { createControllerClient } from './ControllerClient.js';

const STATUS_TIMEOUT_MS = 2_000;

/** Who runs what. Times are in milliseconds. */
export interface Rollout {
  /** The revision asked for, or the newest that the asking controller has. */
  revision: number;
  processes: ProcessStatus[];
  /** Sessions that did not answer in time. */
  missing: { session: string; role: string; dataCentre: string; address: string; reason: string }[];
  /** Sessions that answered with a revision below the one asked for. */
  behind: string[];
  /**
   * Longest time from the append of the change to its fold, over the processes that folded it; the
   * clocks of the platform and of the processes may differ by some milliseconds.
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
 * Asks every process of the open sessions which offset and revision it runs, all at once.
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
