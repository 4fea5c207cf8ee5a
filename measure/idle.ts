/**
 * Measures the resource usage of a node (a gateway and a controller) without requests, first idle
 * and then at the configuration change rate of the design target:
 * `npm run measure -- idle [NODES] [HOSTS] [CHANGES_A_SECOND]`.
 *
 * @module
 */
import { NodeGroup, pause } from './NodeGroup.js';

const WARM_UP_MS = 25_000;
const WINDOW_SECONDS = 20;

const [nodes = 7, hosts = 0, changesASecond = 0.7] = process.argv.slice(3).map(Number);
const group = new NodeGroup();
try {
  await group.open(nodes);
  if (hosts > 0) await group.loadHosts(hosts);
  await pause(WARM_UP_MS);
  const idle = await group.measure(() => pause(WINDOW_SECONDS * 1_000));
  console.log(JSON.stringify({ run: 'idle', nodes, hosts, ...idle }));
  const busy = await group.measure(() => group.submitChanges(changesASecond, WINDOW_SECONDS));
  console.log(JSON.stringify({ run: 'busy', nodes, hosts, changesASecond, ...busy }));
} finally {
  await group.close();
}
