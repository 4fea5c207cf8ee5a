/**
 * Measures what other work keeps while one kind of work floods, for both admission policies.
 *
 * Five services of 8 upstreams with 8 slots. In each phase one kind of work rises; what the others
 * keep is compared with a phase without a flood on the same gateway.
 *
 * @module
 */
import { Fleet } from './_Fleet.js';
import type { Flow, LoadOptions, LoadResult } from './_LoadOptions.js';

const SERVICES = ['s1', 's2', 's3', 's4', 's5'];
const HOSTS = 8;
const SLOTS = 8;
const SERVICE_MS = 200;
/** Jobs a second that one pool can run. */
const CAPACITY = (HOSTS * SLOTS * 1_000) / SERVICE_MS;
/** At five times its mean, a queue asks for twice what its pool holds. */
const MEAN = 0.4 * CAPACITY;
const BETWEEN = 1 / 20;
const PHASE_MS = 2_500;
const TIMEOUT_MS = 2_000;
const SHARES: Record<string, number> = { urgent: 0.2, normal: 0.6, batch: 0.2 };

/** Builds the flows of a phase: factors by service, and by urgency within the first service. */
function buildFlows(
  services: Record<string, number>,
  urgencies: Record<string, number> = {},
): Flow[] {
  return SERVICES.flatMap((service) =>
    Object.entries(SHARES).map(([urgency, share]) => {
      const extra = service === 's1' ? (urgencies[urgency] ?? 1) : 1;
      return { service, urgency, perSecond: MEAN * share * (services[service] ?? 1) * extra };
    }),
  );
}

function describe(name: string, flooded: (flow: Flow) => boolean, runs: LoadResult[][]): object {
  const [calm = [], flood = []] = runs;
  const kept = flood
    .filter(({ flow }) => !flooded(flow))
    .map((result) => {
      const before = calm.find(
        ({ flow }) => flow.service === result.flow.service && flow.urgency === result.flow.urgency,
      ) as LoadResult;
      return {
        goodput: result.good / result.sent / (before.good / before.sent),
        p99: result.p99 / before.p99,
      };
    });
  const own = flood.filter(({ flow }) => flooded(flow));
  const [service] = own.map(({ flow }) => flow.service);
  const pool = flood.filter(({ flow }) => flow.service === service);
  const good = pool.reduce((sum, result) => sum + result.goodInPhase, 0);
  const urgent = flood.filter(({ flow }) => flow.urgency === 'urgent');
  const round = (value: number): number => Math.round(value * 1_000) / 1_000;
  return {
    phase: name,
    keptGoodputLeast: round(Math.min(...kept.map(({ goodput }) => goodput))),
    keptP99Most: round(Math.max(...kept.map(({ p99 }) => p99))),
    poolGoodputOfCapacity: round(good / ((CAPACITY * PHASE_MS) / 1_000)),
    urgentStartMostMs: round(Math.max(...urgent.map(({ max }) => max - SERVICE_MS))),
    failed: flood.reduce((sum, result) => sum + result.failed, 0),
  };
}

const fleet = new Fleet();
try {
  await fleet.open(SERVICES, { hosts: HOSTS, serviceMs: SERVICE_MS });
  for (const admission of ['fair', 'fifo'] as const) {
    const gateway = await fleet.startGateway(admission);
    const load = (flows: Flow[]): Promise<LoadResult[]> => {
      const options = { gateway, flows, durationMs: PHASE_MS, timeoutMs: TIMEOUT_MS };
      return fleet.run('_load', [JSON.stringify(options satisfies LoadOptions)]) as Promise<
        LoadResult[]
      >;
    };
    await load(buildFlows({}));
    const calm = await load(buildFlows({}));
    const print = (name: string, flooded: (flow: Flow) => boolean, flood: LoadResult[]): void =>
      console.log(JSON.stringify({ admission, ...describe(name, flooded, [calm, flood]) }));
    for (const service of ['s1', 's3']) {
      // The service that flooded before falls to a twentieth of its mean.
      const rest: Record<string, number> = service === 's1' ? {} : { s1: BETWEEN };
      const flood = await load(buildFlows({ ...rest, [service]: 5 }));
      print(`${service} at 5 times`, (flow) => flow.service === service, flood);
    }
    const twenty = await load(buildFlows({ s1: 20 }));
    print('s1 at 20 times', (flow) => flow.service === 's1', twenty);
    for (const urgency of ['batch', 'urgent']) {
      // Twenty times a fifth of the mean is four times the mean of the service.
      const flood = await load(buildFlows({}, { [urgency]: 20 }));
      const isFlooded = (flow: Flow): boolean => flow.service === 's1' && flow.urgency === urgency;
      print(`${urgency} work of s1 at 20 times`, isFlooded, flood);
    }
  }
} finally {
  await fleet.close();
}
