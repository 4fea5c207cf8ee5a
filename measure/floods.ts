/**
 * Measures how an overload of one kind of work affects the other work, for both admission policies.
 *
 * `npm run measure -- floods [fair|fifo] [PART OF A PHASE'S NAME]`. Five services of 8 upstreams with
 * 8 slots. In each phase the load of one service or urgency rises; the goodput and latency of the
 * others are compared with those of a phase without overload on the same gateway.
 *
 * @module
 */
import { MeasuredDeployment } from './_MeasuredDeployment.js';
import type { Flow, LoadOptions, LoadResult } from './_LoadOptions.js';

const SERVICES = ['s1', 's2', 's3', 's4', 's5'];
const HOSTS = 8;
const SLOTS = 8;
const SERVICE_MS = 200;
/** Jobs per second that one pool can run. */
const CAPACITY = (HOSTS * SLOTS * 1_000) / SERVICE_MS;
/** Mean jobs per second of a service; five times this rate is twice the capacity of its pool. */
const MEAN_RATE = 0.4 * CAPACITY;
const LOW_LOAD_FACTOR = 1 / 20;
const PHASE_MS = 2_500;
const OVERLOAD_FACTORS = [5, 20];
const TIMEOUT_MS = 2_000;
/** Longer than any start delay of urgent work, so that late starts are measured and do not time out. */
const URGENT_TIMEOUT_MS = 10_000;
const URGENCY_SHARES: Record<string, number> = { urgent: 0.2, normal: 0.6, batch: 0.2 };

/** Builds the flows of a phase from load factors by service, and by urgency in the first service. */
function buildFlows(
  services: Record<string, number>,
  urgencies: Record<string, number> = {},
): Flow[] {
  return SERVICES.flatMap((service) =>
    Object.entries(URGENCY_SHARES).map(([urgency, share]) => {
      const extra = service === 's1' ? (urgencies[urgency] ?? 1) : 1;
      const perSecond = MEAN_RATE * share * (services[service] ?? 1) * extra;
      const timeoutMs = urgency === 'urgent' ? URGENT_TIMEOUT_MS : TIMEOUT_MS;
      return { service, urgency, perSecond, timeoutMs };
    }),
  );
}

function describePhase(
  name: string,
  isOverloaded: (flow: Flow) => boolean,
  runs: LoadResult[][],
): object {
  const [baseline = [], overloaded = []] = runs;
  const comparisons = overloaded
    .filter(({ flow, sent }) => !isOverloaded(flow) && sent > 0)
    .map((result) => {
      const before = baseline.find(
        ({ flow }) => flow.service === result.flow.service && flow.urgency === result.flow.urgency,
      ) as LoadResult;
      return {
        name: `${result.flow.service} ${result.flow.urgency}`,
        goodput: result.good / result.sent / (before.good / before.sent),
        p99: result.p99 / before.p99,
      };
    });
  const worst = comparisons.toSorted((a, b) => b.p99 - a.p99)[0];
  const overloadedResults = overloaded.filter(({ flow }) => isOverloaded(flow));
  const [service] = overloadedResults.map(({ flow }) => flow.service);
  const pool = overloaded.filter(({ flow }) => flow.service === service);
  const good = pool.reduce((sum, result) => sum + result.goodInPhase, 0);
  const urgent = overloaded.filter(({ flow }) => flow.urgency === 'urgent');
  const round = (value: number): number => Math.round(value * 1_000) / 1_000;
  return {
    phase: name,
    keptGoodputLeast: round(Math.min(...comparisons.map(({ goodput }) => goodput))),
    keptP99Most: round(worst?.p99 ?? 0),
    of: worst?.name,
    poolGoodputOfCapacity: round(good / ((CAPACITY * PHASE_MS) / 1_000)),
    urgentStartMostMs: round(Math.max(...urgent.map(({ max }) => max)) - SERVICE_MS),
    failed: overloaded.reduce((sum, result) => sum + result.failed, 0),
  };
}

/** A phase with the load factors of its services and urgencies. */
interface Phase {
  name: string;
  services?: Record<string, number>;
  urgencies?: Record<string, number>;
  isOverloaded: (flow: Flow) => boolean;
}

function buildPhases(): Phase[] {
  const services = SERVICES.flatMap((service, index) =>
    OVERLOAD_FACTORS.map((factor) => {
      // The service overloaded in the previous phase drops to a twentieth of its mean.
      const previous = SERVICES[index - 1];
      return {
        name: `${service} at ${factor} times`,
        services: { ...(previous ? { [previous]: LOW_LOAD_FACTOR } : {}), [service]: factor },
        isOverloaded: (flow: Flow) => flow.service === service,
      };
    }),
  );
  const urgencies = Object.keys(URGENCY_SHARES).flatMap((urgency) =>
    OVERLOAD_FACTORS.map((factor) => ({
      name: `${urgency} work of s1 at ${factor} times`,
      urgencies: { [urgency]: factor },
      isOverloaded: (flow: Flow) => flow.service === 's1' && flow.urgency === urgency,
    })),
  );
  return [...urgencies, ...services];
}

const deployment = new MeasuredDeployment();
const policies = process.argv[3] === undefined ? ['fair', 'fifo'] : [process.argv[3]];
const only = process.argv[4] ?? '';
try {
  await deployment.open(SERVICES, { hosts: HOSTS, serviceMs: SERVICE_MS });
  for (const admission of policies as ('fair' | 'fifo')[]) {
    const gateway = await deployment.startGateway(admission);
    const load = (flows: Flow[]): Promise<LoadResult[]> => {
      const options = { gateway, flows, durationMs: PHASE_MS };
      return deployment.run('_load', [JSON.stringify(options satisfies LoadOptions)]) as Promise<
        LoadResult[]
      >;
    };
    await load(buildFlows({}));
    const baseline = await load(buildFlows({}));
    for (const phase of buildPhases().filter(({ name }) => name.includes(only))) {
      const overloaded = await load(buildFlows(phase.services ?? {}, phase.urgencies));
      const result = describePhase(phase.name, phase.isOverloaded, [baseline, overloaded]);
      console.log(JSON.stringify({ admission, ...result }));
    }
  }
} finally {
  await deployment.close();
}
