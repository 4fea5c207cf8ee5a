import { z } from 'zod';
import { Address } from '../host/mod.js';
import { Outcome } from '../job/mod.js';
import type { Exchange } from './Exchange.js';

/** Where a job goes: the gateway that owns its key, or any gateway of another data centre. */
export const ForwardTarget = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('peer'), peerAddress: Address, session: z.string() }),
  z.object({ kind: z.literal('other-data-centre'), service: z.string() }),
]);
export type ForwardTarget = z.infer<typeof ForwardTarget>;

/** How forwarding ended. */
export const ForwardResult = z.object({
  /** Whether the caller has its complete answer, of whatever status. */
  answered: z.boolean(),
  /** False only if no byte of the job can have left this process. */
  sent: z.boolean(),
  /** What became of the job, as far as the other gateway stated it. */
  outcome: Outcome,
  detail: z.string().optional(),
});
export type ForwardResult = z.infer<typeof ForwardResult>;

/**
 * Passes a job on to another gateway, one hop at most, and its answer to the caller. The deadline of
 * the job holds over the hop. An answer that ends short cancels the exchange.
 */
export abstract class JobForwarder {
  /** Forwards a job. A rejection counts as "may have been sent". */
  abstract forward(exchange: Exchange, target: ForwardTarget): Promise<ForwardResult>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
