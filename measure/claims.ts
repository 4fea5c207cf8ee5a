/**
 * Measures the cost of claims: latency and throughput of jobs with a key and without one, over two
 * and three gateways, and the memory of a claim in the table.
 *
 * @module
 */
import { Pool } from 'undici';
import { ClaimTable, IdempotencyKey } from '../src/mod.js';
import { MeasuredDeployment } from './_MeasuredDeployment.js';

const CONCURRENCIES = [1, 32];
const WARM_UP_MS = 1_000;
const DURATION_MS = 2_000;
const CLAIM_COVERAGE_MS = 11_000;
const CLAIM_COUNT = 500_000;

let count = 0;
function createSequentialKey(): string {
  count += 1;
  const time = Date.now().toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${count.toString(16).padStart(12, '0')}`;
}

async function measureJobs(
  gateways: string[],
  options: { isKeyed: boolean; concurrency: number; ms: number },
): Promise<object> {
  const { isKeyed, concurrency, ms } = options;
  const pools = gateways.map((one) => new Pool(`http://${one}`, { connections: concurrency }));
  const latencies: number[] = [];
  let refused = 0;
  const begin = performance.now();
  const sendJobs = async (index: number): Promise<void> => {
    const pool = pools[index % pools.length] as Pool;
    while (performance.now() - begin < ms) {
      const start = performance.now();
      const headers = isKeyed ? { 'idempotency-key': createSequentialKey() } : {};
      const answer = await pool.request({ path: '/s1/job', method: 'POST', body: 'x', headers });
      await answer.body.dump();
      if (answer.statusCode === 200) latencies.push(performance.now() - start);
      else refused += 1;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, (_, index) => sendJobs(index)));
  await Promise.all(pools.map((pool) => pool.close()));
  latencies.sort((a, b) => a - b);
  const find = (part: number): number =>
    Math.round((latencies[Math.floor(part * latencies.length)] ?? 0) * 1_000) / 1_000;
  const perSecond = Math.round((latencies.length * 1_000) / ms);
  return { isKeyed, concurrency, perSecond, refused, p50: find(0.5), p99: find(0.99) };
}

function measureMemory(): void {
  const keys = Array.from({ length: CLAIM_COUNT }, () =>
    IdempotencyKey.parse(createSequentialKey()),
  );
  const table = new ClaimTable(CLAIM_COUNT);
  const before = process.memoryUsage();
  keys.forEach((key) => table.put(key, { owner: 'session', state: 'held' }));
  const after = process.memoryUsage();
  const bytesPerClaim =
    Math.round((10 * (after.arrayBuffers - before.arrayBuffers)) / CLAIM_COUNT) / 10;
  console.log(
    JSON.stringify({ claims: table.count, bytesPerClaim, counted: table.bytes / CLAIM_COUNT }),
  );
}

measureMemory();
const deployment = new MeasuredDeployment();
try {
  await deployment.open(['s1'], { hosts: 8, serviceMs: 0 });
  const gateways = [await deployment.startGateway('fair'), await deployment.startGateway('fair')];
  for (const members of [2, 3]) {
    if (members === 3) gateways.push(await deployment.startGateway('fair'));
    // A new session knows all claims only of keys that are newer than twice the clock skew.
    await new Promise((resolve) => {
      setTimeout(resolve, CLAIM_COVERAGE_MS);
    });
    for (const concurrency of CONCURRENCIES) {
      for (const isKeyed of [false, true]) {
        await measureJobs(gateways, { isKeyed, concurrency, ms: WARM_UP_MS });
        const result = await measureJobs(gateways, { isKeyed, concurrency, ms: DURATION_MS });
        console.log(JSON.stringify({ members, ...result }));
      }
    }
  }
} finally {
  await deployment.close();
}
