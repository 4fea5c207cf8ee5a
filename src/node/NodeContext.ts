import type { ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { Metrics } from '../metrics/mod.js';
import type {
  AdviceService,
  HostOrders,
  MachineProvider,
  RecordDecoder,
  Store,
} from '../port/mod.js';
import type { DecisionLog } from './DecisionLog.js';
import type { NodeSettings } from './NodeSettings.js';

/** Dependencies and settings that the actors of a node share. */
export interface NodeContext {
  scope: ActorScope;
  clock: Clock;
  log: DecisionLog;
  metrics: Metrics;
  settings: NodeSettings;
  store: Store;
  decoder: RecordDecoder;
  hosts: HostOrders;
  machines: MachineProvider;
  advice: AdviceService;
  /** Identifies this run of the process. */
  session: string;
}
