import { ProcessStatus } from '../fleet/mod.js';
import { collectObservations } from '../observation/mod.js';
import { EXIT_FAILURE, EXIT_OK, type CommandCall } from './Command.js';
import { ProcessCommand } from './ProcessCommand.js';

function describeState(revision: number | undefined, newest: number): string {
  if (revision === undefined) return 'missing';
  return revision < newest ? 'behind' : 'in force';
}

/** Shows which configuration each process has in force. */
export class RolloutCommand extends ProcessCommand {
  override readonly usage = 'rollout';

  override readonly summary =
    'Show the offset and revision in force in each process; fails if one lags or is missing';

  override readonly examples = ['rollout', 'rollout --process 10.0.0.5:7201'];

  override async run(call: CommandCall): Promise<number> {
    const addresses = await ProcessCommand.listAddresses(call);
    const what = { path: 'status', schema: ProcessStatus } as const;
    const answers = await collectObservations(addresses, what);
    const newest = Math.max(0, ...answers.map(({ value }) => value?.revision ?? 0));
    const rows = answers.map(({ address, value }) => ({
      address,
      role: value?.role,
      dataCentre: value?.dataCentre,
      revision: value?.revision,
      offset: value?.nextOffset,
      state: describeState(value?.revision, newest),
    }));
    call.output.printRows({ revision: newest, processes: answers }, rows);
    return rows.every(({ state }) => state === 'in force') ? EXIT_OK : EXIT_FAILURE;
  }
}
