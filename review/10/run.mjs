import { wait } from '../standin-2/Platform.mjs';
import { runCase } from '../standin-2/runCase.mjs';
import { openNodes, openSite } from '../standin-2/site.mjs';

const OUTAGE_MS = 5_000;
const WAVE = 1;

await runCase(import.meta.dirname, async ({ platform, fleet, isTroubled }) => {
  await openSite(platform);
  await openNodes(fleet);
  await wait(2_000);
  if (isTroubled) {
    platform.record('machine-service-down');
    Object.assign(platform.hooks, { isCloudUp: () => false });
  }
  await wait(1_000);
  // A machine is added to the pool; the operator wants its upkeep.
  const { name } = await platform.addMachine('m-new', {
    service: 'huvo11a',
    zone: 'bzh-c',
    rack: 'r1-c',
    capacity: { cpu: 64_000, memMb: 131_072, gpu: 0 },
  });
  await wait(2_000);
  platform.writeOperator(`wave/${WAVE}`, { wave: WAVE, machines: [name], durationS: 20, cap: 1 });
  await wait(OUTAGE_MS - 3_000);
  Object.assign(platform.hooks, { isCloudUp: () => true });
  platform.record('machine-service-up');
  await wait(22_000);
  const begun = platform.events.find(({ kind, machine }) => kind === 'upkeep' && machine === name);
  const said = platform.store
    .getTopic('keyed.status')
    .records.filter(({ key }) => key === `wave/${WAVE}`)
    .map(({ value }) => JSON.parse(value.toString('utf8')).state);
  platform.record('status', { key: `wave/${WAVE}`, states: said.join(', ') });
  if (!said.includes('completed') || begun !== undefined) return [];
  return [`MIXED: wave ${WAVE} is said to be completed, and ${name} has not begun its upkeep`];
});
