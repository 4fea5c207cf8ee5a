import type { Rollout } from '../controller/mod.js';
import { ProcessStatus } from '../fleet/mod.js';
import { collectObservations } from '../observation/mod.js';
import { Command, EXIT_FAILURE, EXIT_OK, type CommandCall, type CommandOption } from './Command.js';
import { renderTable, type Cell } from './renderTable.js';

function listProcesses({ processes, behind }: Rollout): Record<string, Cell>[] {
  return processes.map((one) => {
    const state = behind.includes(one.session) ? 'behind' : 'in force';
    return {
      role: one.role,
      dataCentre: one.dataCentre,
      revision: one.revision,
      offset: one.nextOffset,
      state: one.readiness === 'not-ready' ? 'not ready' : state,
      tookMs: one.change && one.change.foldedAt - one.change.appendedAt,
      readiness: one.readiness,
      session: one.session,
      reason: one.reason,
    };
  });
}

function listMissing({ missing }: Rollout): Record<string, Cell>[] {
  return missing.map(({ role, dataCentre, address, session, reason }) => ({
    role,
    dataCentre,
    state: 'missing',
    session,
    reason: `${address}: ${reason}`,
  }));
}

/** Adds processes that have no open session, by the status that every daemon serves. */
async function addProcesses(rollout: Rollout, addresses: readonly string[]): Promise<Rollout> {
  const what = { path: 'status', schema: ProcessStatus } as const;
  const added = await collectObservations(addresses, what);
  const known = new Set(rollout.processes.map(({ session }) => session));
  const processes = added.flatMap(({ value }) =>
    value && !known.has(value.session) ? [value] : [],
  );
  const behind = processes.filter(({ revision }) => revision < rollout.revision);
  const missing = added.flatMap((one) =>
    one.value === undefined
      ? [{ session: '', role: '', dataCentre: '', address: one.address, reason: one.error }]
      : [],
  );
  return {
    ...rollout,
    processes: [...rollout.processes, ...processes],
    behind: [...rollout.behind, ...behind.map(({ session }) => session)],
    missing: [...rollout.missing, ...missing],
  };
}

/** Shows which configuration each process has in force. */
export class RolloutCommand extends Command {
  override readonly usage = 'rollout';

  override readonly summary =
    'Show the revision in force and the readiness of each process; fails if one lags or is missing';

  override readonly examples = ['rollout', 'rollout --revision 42'];

  override readonly options: readonly CommandOption[] = [
    { name: 'revision', summary: 'Revision to ask for; the default is the newest' },
    {
      name: 'process',
      summary: 'Peer or API address of a process without a session; may be given several times',
    },
  ];

  override async run(call: CommandCall): Promise<number> {
    const { controllers, output } = call;
    const revision = Command.readRevision(call);
    const known = await controllers.query((client) => client.rollout.query({ revision }));
    const rollout = await addProcesses(known, Command.listValues(call, 'process'));
    const rows = [...listProcesses(rollout), ...listMissing(rollout)];
    const counts = `${rollout.behind.length} behind, ${rollout.missing.length} missing`;
    const took = rollout.tookMs === undefined ? '' : `, took up to ${rollout.tookMs} ms`;
    output.print(rollout, () => {
      const head = `revision ${rollout.revision}: ${rollout.processes.length} answered, ${counts}`;
      return `${head}${took}\n${renderTable(rows)}`;
    });
    return rows.every(({ state }) => state === 'in force') ? EXIT_OK : EXIT_FAILURE;
  }
}
