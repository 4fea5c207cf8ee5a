import { listWithdrawals } from '../timeline/mod.js';
import { EXIT_OK, type CommandContext } from './Command.js';
import { formatTime } from './formatTime.js';
import { ProcessCommand } from './ProcessCommand.js';

/** Shows the maintenance waves in progress. */
export class WavesCommand extends ProcessCommand {
  override readonly usage = 'waves';

  override readonly summary =
    'Show hosts in maintenance (draining, granted or away), withdrawn and late, and why';

  override readonly examples = ['waves', 'waves --json'];

  override async run(context: CommandContext): Promise<number> {
    const { controllers, output } = context;
    const waves = await controllers.query((client) => client.waves.query());
    const contracts = await controllers.query((client) => client.contracts.query());
    const withdrawn = listWithdrawals(await ProcessCommand.collectTimelines(context));
    const waveRows = waves.flatMap(({ wave, pool, hosts }) =>
      hosts.map(({ host, step, since, waitsFor, isLate }) => ({
        pool,
        host,
        step: isLate ? `${step}, late` : step,
        since: formatTime(since),
        why: `waits for ${waitsFor}`,
        wave,
      })),
    );
    const waveHosts = new Set(waveRows.map(({ host }) => host));
    const lateRows = contracts.flatMap(({ pool, late: hosts }) =>
      hosts
        .filter(({ host }) => !waveHosts.has(host))
        .map(({ host, dueAt, reason }) => ({
          pool,
          host,
          step: 'late',
          since: formatTime(dueAt),
          why: reason,
          wave: undefined,
        })),
    );
    const withdrawnRows = withdrawn
      .filter(({ host }) => !waveHosts.has(host))
      .map(({ host, at, reason }) => ({
        pool: undefined,
        host,
        step: 'withdrawn',
        since: formatTime(at),
        why: reason,
        wave: undefined,
      }));
    const lateHosts = contracts.flatMap(({ pool, late: hosts, lateHosts: count }) =>
      count === 0 ? [] : [{ pool, count, hosts }],
    );
    output.printRows({ waves, withdrawn, late: lateHosts }, [
      ...waveRows,
      ...withdrawnRows,
      ...lateRows,
    ]);
    return EXIT_OK;
  }
}
