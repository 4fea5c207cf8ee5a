import { Pool } from 'undici';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import { encodeForwardedJob } from './encodeForwardedJob.js';
import type { Exchange } from './Exchange.js';
import { FORWARDED_JOB_HEADER } from './ForwardedJob.js';
import { ForwardRun } from './_ForwardRun.js';
import type { ForwardResult } from './JobForwarder.js';

/** Extra time after the job's deadline in which the other gateway can report that it was missed. */
const ANSWER_MARGIN_MS = 1_000;
const MAX_CONNECTIONS = 256;
const CONNECT_TIMEOUT_MS = 1_000;
/** More than the connect timeout; a request written later was delayed by a pause of the process. */
const SEND_DEADLINE_MS = 2_500;
/** Less than the 5 s after which the peer port closes an idle connection. */
const IDLE_TIMEOUT_MS = 4_000;

/** Messages that the link receives. */
export interface ForwardLinkMessage {
  type: 'run';
  exchange: Exchange;
  reply: (result: ForwardResult) => void;
}

/** Owns the connections on which jobs are forwarded to one other gateway. */
export class ForwardLink extends Actor<ForwardLinkMessage> {
  readonly #clock: Clock;

  readonly #pool: Pool;

  constructor(scope: ActorScope, peerAddress: string, clock: Clock) {
    super(scope, `forward-link ${peerAddress}`);
    this.#clock = clock;
    this.#pool = new Pool(`http://${peerAddress}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      // No timeouts here: the timer set in `receive` limits each hop as a whole.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  protected override receive({ exchange, reply }: ForwardLinkMessage): void {
    const { job } = exchange;
    const now = this.#clock.readMonotonic();
    let timer: NodeJS.Timeout | undefined;
    const run = new ForwardRun(exchange, {
      sendDeadline: now + SEND_DEADLINE_MS,
      reply: (result) => {
        clearTimeout(timer);
        reply(result);
      },
    });
    if (exchange.isAbandoned) {
      run.fail('abandoned', 'the caller has gone away');
      return;
    }
    const timeoutMs = Math.max(0, job.deadline - now) + ANSWER_MARGIN_MS;
    timer = setTimeout(() => run.fail('timeout', 'the deadline has passed'), timeoutMs);
    exchange.addCloseListener(() => run.fail('abandoned', 'the caller has gone away'));
    this.#pool.dispatch(
      {
        method: exchange.method,
        path: exchange.path,
        headers: { ...exchange.headers, [FORWARDED_JOB_HEADER]: encodeForwardedJob(job, now) },
        body: exchange.body.length > 0 ? exchange.body : null,
      },
      run,
    );
  }

  override async close(): Promise<void> {
    super.close();
    await this.#pool.destroy();
  }
}
