import type { Rollout } from '../controller/mod.js';
import { ProcessStatus } from '../fleet/mod.js';
import { collectObservations } from '../observation/mod.js';
import {
  Command,
  EXIT_FAILURE,
  EXIT_OK,
  type CommandContext,
  type CommandOption,
} from './Command.js';
import { renderTable, type Cell } from './renderTable.js';

function listProcessRows({ processes, behind }: Rollout): Record<string, Cell>[] {
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

function listMissingRows({ missing }: Rollout): Record<string, Cell>[] {
  return missing.map(({ role, dataCentre, address, session, reason }) => ({
    role,
    dataCentre,
    state: 'missing',
    session,
    reason: `${address}: ${reason}`,
  }));
}

/** Adds the status of processes without an open session, which every daemon serves over HTTP. */
async function addProcesses(rollout: Rollout, addresses: readonly string[]): Promise<Rollout> {
  const endpoint = { path: 'status', schema: ProcessStatus } as const;
  const observations = await collectObservations(addresses, endpoint);
  const knownSessions = new Set(rollout.processes.map(({ session }) => session));
  const processes = observations.flatMap(({ value }) =>
    value && !knownSessions.has(value.session) ? [value] : [],
  );
  const behind = processes.filter(({ revision }) => revision < rollout.revision);
  const missing = observations.flatMap((one) =>
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

/** Shows the configuration revision that each process has in force. */
export class RolloutCommand extends Command {
  override readonly usage = 'rollout';

  override readonly summary =
    'Show the revision in force and readiness of each process; fails if one is behind or missing';

  override readonly examples = ['rollout', 'rollout --revision 42'];

  override readonly options: readonly CommandOption[] = [
    { name: 'revision', summary: 'Expected revision (default: the current revision)' },
    {
      name: 'process',
      summary: 'Peer or API address of a process without a session; can be repeated',
    },
  ];

  override async run(context: CommandContext): Promise<number> {
    const { controllers, output } = context;
    const revision = Command.readRevision(context);
    const sessionRollout = await controllers.query((client) => client.rollout.query({ revision }));
    const rollout = await addProcesses(sessionRollout, Command.listValues(context, 'process'));
    const rows = [...listProcessRows(rollout), ...listMissingRows(rollout)];
    const counts = `${rollout.behind.length} behind, ${rollout.missing.length} missing`;
    const took = rollout.tookMs === undefined ? '' : `, took up to ${rollout.tookMs} ms`;
    output.print(rollout, () => {
      const head = `revision ${rollout.revision}: ${rollout.processes.length} answered, ${counts}`;
      return `${head}${took}\n${renderTable(rows)}`;
    });
    return rows.every(({ state }) => state === 'in force') ? EXIT_OK : EXIT_FAILURE;
  }
}
