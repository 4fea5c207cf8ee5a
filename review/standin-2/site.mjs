/** A small deployment like the site lande-prod: four zones, six nodes. */
export const ZONES = ['bzh-a', 'bzh-b', 'bzh-c', 'bzh-d'];
export const NODES = [
  ['a1', 'bzh-a'],
  ['a2', 'bzh-a'],
  ['b1', 'bzh-b'],
  ['b2', 'bzh-b'],
  ['c1', 'bzh-c'],
  ['d1', 'bzh-d'],
];
export const HOST = 'pule25.example';
export const QUEUE = '/puxa400/';
const CAPACITY = { cpu: 64_000, memMb: 131_072, gpu: 0 };

const ROUTE = {
  kind: 'non_idempotent',
  timeoutMs: 3_000,
  targetLatencyMs: 600,
  priority: 0,
  maxAttempts: 4,
  stretch: 1.6,
};

/** Builds a configuration with one service and the given routes, by name and prefix. */
export function buildConfiguration(version, routes = [{ name: 'r-1', pathPrefix: QUEUE }]) {
  return {
    version,
    routes: routes.map((route) => ({ ...ROUTE, host: HOST, service: 'huvo11a', ...route })),
    services: [{ name: 'huvo11a', healthPath: '/health', maxConns: 64, rejectsOverload: true }],
    limits: {},
  };
}

/** Opens the platform: a configuration and a number of workers in each zone. */
export async function openSite(platform, { workersPerZone = 2, configuration } = {}) {
  platform.writeOperator('config', configuration ?? buildConfiguration(3));
  for (const zone of ZONES) {
    for (let index = 0; index < workersPerZone; index += 1) {
      await platform.addMachine(`m-${zone.slice(-1)}${index}`, {
        service: 'huvo11a',
        zone,
        rack: `r1-${zone.slice(-1)}`,
        capacity: CAPACITY,
      });
    }
  }
}

/** Prepares and starts nodes, all at once, and waits until they are ready. */
export async function openNodes(fleet, nodes = NODES) {
  for (const [name, zone] of nodes) await fleet.add(name, zone);
  nodes.forEach(([name]) => fleet.start(name));
  await fleet.waitForReady();
}
