import { wait } from '../standin-2/Platform.mjs';
import { runCase } from '../standin-2/runCase.mjs';
import { findOverlaps } from '../standin-2/findOverlaps.mjs';
import { HOST, NODES, QUEUE, openSite } from '../standin-2/site.mjs';

const ID = '5c0e7a21d94b36f8';
const CUT_MS = 5_500;
/** The balancer takes a node out of rotation after two misses, one second apart. */
const ROTATION_MS = 2_000;
const START_AFTER_MS = 32_000;
const ROLL_GAP_MS = 1_400;

/** Restarts a node as in a rolling restart, and waits until it is in rotation again. */
async function reboot(fleet, name) {
  await fleet.stop(name);
  fleet.start(name);
  await fleet.waitForReady([name]);
}

await runCase(import.meta.dirname, async ({ platform, fleet, isTroubled }) => {
  await openSite(platform);
  for (const [name, zone] of NODES) await fleet.add(name, zone);
  // All machines start within 0.3 s of each other; the first one mostly owns the jobs.
  fleet.start('b1');
  await wait(250);
  NODES.filter(([name]) => name !== 'b1').forEach(([name]) => fleet.start(name));
  await fleet.waitForReady();
  const zones = new Map(NODES);
  const cutZone = zones.get(fleet.findOwner());
  const inZone = NODES.flatMap(([name, zone]) => (zone === cutZone ? [name] : []));
  const [single] = ['c1', 'd1'].filter((name) => !inZone.includes(name));
  const others = NODES.flatMap(([name, zone]) =>
    zone === cutZone || name === single ? [] : [name],
  );
  platform.record('zones', { owner: fleet.findOwner(), cutZone, single });

  // A rolling restart begins with the only node of a zone, so the next zone serves its clients.
  const restarted = reboot(fleet, single);
  await wait(ROTATION_MS + 100);
  const steps = [{ count: 1, cpu: 1_000, memMb: 256 }];
  platform.addSizes(ID, steps);
  const startAtMs = Date.now() + START_AFTER_MS;
  const job = { path: QUEUE + ID, host: HOST };
  const body = { taskSpec: 'ms=3000', steps, repeatCount: 12, startAtMs, intervalMs: 1_000 };
  const { status } = await fleet.call(inZone[0], { ...job, method: 'POST', body });
  if (status !== 200) throw new Error(`the job was answered ${status}`);
  await restarted;
  // The request arrives again seconds after its answer, at the node that is in rotation again.
  await fleet.call(single, { ...job, method: 'POST', body });
  // A second rolling restart: the other nodes outside the zone of the owner, one after the other.
  for (const name of [...others, single]) {
    await reboot(fleet, name);
    await wait(ROLL_GAP_MS);
  }
  if (zones.get(fleet.findOwner()) !== cutZone) throw new Error('the owner has changed');
  const startsInMs = startAtMs - Date.now();
  if (startsInMs < 1_500) throw new Error('the rolling restart took too long');
  await wait(startsInMs - 1_000);
  if (isTroubled) {
    platform.record('zone-cut', { zone: cutZone });
    Object.assign(platform.hooks, {
      isReachable: (node, thing) => (zones.get(node) === cutZone) === (thing.zone === cutZone),
    });
  }
  await wait(CUT_MS);
  Object.assign(platform.hooks, { isReachable: () => true });
  platform.record('zone-healed', { zone: cutZone });
  await wait(20_000);
  return findOverlaps(platform.events).map((text) => `TWICE: ${text}`);
});
