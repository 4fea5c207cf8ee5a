import { z } from 'zod';
import { LogLevel } from '../settings/mod.js';
import { ShardOptions } from '../schedule/ShardOptions.js';

/** Settings of a node. Times in ms. */
export const NodeSettings = z.object({
  name: z.string().min(1),
  dataCentre: z.string(),
  logLevel: LogLevel.default('info'),
  /** Address of the node's metrics page, `IP:port`. */
  metricsAddress: z.string().optional(),
  /** Address at which other nodes reach this one; port 0 takes a free one. */
  peerAddress: z.string().optional(),
  /** From a planned stop to the forced end of the process. */
  stopGraceMs: z.number().positive(),
  /** How long a finished job can be asked for. */
  retentionMs: z.number().positive(),
  /** The shard's owner counts as silent after this time without a record of it. */
  ownerSilenceMs: z.number().positive().default(1_000),
  /** Pause between records of an owner that has nothing else to record. */
  ownerBeatMs: z.number().positive().default(250),
  shard: ShardOptions,
});
export type NodeSettings = z.infer<typeof NodeSettings>;
