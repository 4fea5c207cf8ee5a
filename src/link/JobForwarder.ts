import { z } from 'zod';
import { Address } from '../host/mod.js';
import { Outcome } from '../job/mod.js';
import type { Exchange } from './Exchange.js';

/** Destination of a job: the gateway that owns its key, or any gateway of another data centre. */
export const ForwardTarget = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('peer'), peerAddress: Address, session: z.string() }),
  z.object({ kind: z.literal('other-data-centre'), service: z.string() }),
]);
export type ForwardTarget = z.infer<typeof ForwardTarget>;

/** Result of forwarding a job. */
export const ForwardResult = z.object({
  /** Whether the caller has received a complete response, with any status. */
  answered: z.boolean(),
  /** False only if no byte of the request can have left this process. */
  sent: z.boolean(),
  /** The outcome that the other gateway reported; otherwise the one that `sent` implies. */
  outcome: Outcome,
  detail: z.string().optional(),
});
export type ForwardResult = z.infer<typeof ForwardResult>;

/**
 * Forwards jobs to another gateway, over one hop at most, and the responses to the callers. The
 * job's deadline applies to the hop. An incomplete response cancels the exchange.
 */
export abstract class JobForwarder {
  /** Forwards a job. If the promise is rejected, the job may have been sent. */
  abstract forward(exchange: Exchange, target: ForwardTarget): Promise<ForwardResult>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
