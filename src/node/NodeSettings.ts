import { z } from 'zod';
import { IngressSettings } from '../ingress/mod.js';
import { StoreLimits } from '../port/mod.js';
import { LogLevel } from '../settings/mod.js';
import { ShardOptions } from '../schedule/ShardOptions.js';

/** Settings of a node. All times are in ms. */
export const NodeSettings = z.object({
  name: z.string().min(1),
  dataCentre: z.string(),
  /** Processor share of the node in cores; nodes with more of it claim the shard first. */
  cores: z.number().positive().default(1),
  logLevel: LogLevel.default('info'),
  /** Address of the metrics server, `IP:port`. */
  metricsAddress: z.string().optional(),
  /** Address of the server for other nodes, `IP:port`; port 0 selects a free port. */
  peerAddress: z.string().optional(),
  /** Time between the stop signal and the forced termination of the process. */
  stopGraceMs: z.number().positive(),
  /** How long the state of a finished job is kept. */
  retentionMs: z.number().positive(),
  /** The owner of the shard counts as silent after this time without a record from it. */
  ownerSilenceMs: z.number().positive().default(1_000),
  /** Heartbeat interval of an owner that has nothing else to record. */
  ownerBeatMs: z.number().positive().default(250),
  /**
   * Time after the acknowledgement of a configuration from which no API key that it removed may be
   * served; undefined if nodes without contact to the store may go on serving the keys they know.
   */
  revocationLimitMs: z.number().positive().optional(),
  /** Bounds on what callers may occupy. */
  ingress: IngressSettings.prefault({}),
  /** Limits of the store on an append. */
  store: StoreLimits.prefault({}),
  shard: ShardOptions,
});
export type NodeSettings = z.infer<typeof NodeSettings>;
