import { FindingsError, formatFinding } from '../finding/mod.js';
import { compareDocument, type VerdictResponse } from '../fleet/mod.js';
import type { Operation } from '../record/mod.js';
import { loadDocuments, mergeDocuments, type FleetDocument } from '../settings/mod.js';
import { Command, EXIT_FAILURE, EXIT_OK, type CommandCall, type CommandOption } from './Command.js';
import type { ControllerGroup } from './ControllerGroup.js';
import { describeChangeFailure, type ChangeFailure } from './describeChangeFailure.js';
import { describeShortfalls } from './describeShortfalls.js';
import { UsageError } from './UsageError.js';

function loadFleet({ args, output }: CommandCall): FleetDocument {
  const { documents, findings } = loadDocuments(args);
  if (findings.some((finding) => finding.severity === 'error')) {
    throw new FindingsError(args.join(', '), findings);
  }
  findings.forEach((finding) => output.report(formatFinding(finding)));
  const settings = documents.find((one) => one.kind === 'settings');
  if (settings) throw new UsageError(`"${settings.source.file}" is a settings file`);
  return mergeDocuments(documents.flatMap((one) => (one.kind === 'fleet' ? [one.value] : [])));
}

function listRows(operations: readonly Operation[]) {
  return operations.map((operation) => ({
    action: operation.action,
    kind: operation.kind,
    name: operation.action === 'put' ? operation.object.name : operation.name,
  }));
}

/** The change has been accepted, whether or not its effect can be read. */
async function listShortfalls(controllers: ControllerGroup): Promise<string[]> {
  try {
    return describeShortfalls(await controllers.query((client) => client.fleet.query()));
  } catch (error) {
    return [`the shortfall could not be read: ${(error as Error).message}`];
  }
}

function formatFailure({ outcome, reason, next }: ChangeFailure): string {
  const head = outcome === 'unknown' ? 'outcome unknown' : 'not applied';
  return [`${head}: ${reason}`, ...next.split(/(?<=\.) /)].join('\n');
}

/** Loads an inventory and rules into the fleet. */
export class ApplyCommand extends Command {
  override readonly usage = 'apply <file>';

  override readonly summary =
    'Load an inventory and rules; several files are merged. A list that no file has stays as it is';

  override readonly examples = [
    'apply inventory.jsonc rules.jsonc --dry-run',
    'apply inventory.jsonc rules.jsonc --revision 42',
  ];

  override readonly options: readonly CommandOption[] = [
    { name: 'dry-run', summary: 'Show the operations and change nothing', isFlag: true },
    { name: 'revision', summary: 'Revision that you saw; the default is the newest' },
    { name: 'operator', summary: 'Your name for the time line' },
  ];

  override readonly maxArguments = Infinity;

  override async run(call: CommandCall): Promise<number> {
    const { controllers, options, output } = call;
    const document = loadFleet(call);
    const current = await controllers.query((client) => client.snapshot.query());
    const baseRevision = Command.readRevision(call) ?? current.revision;
    const operations = compareDocument(document, current);
    if (options['dry-run'] === true || operations.length === 0) {
      const rows = listRows(operations);
      output.printRows({ changed: 0, revision: current.revision, operations }, [
        ...rows,
        ...(rows.length === 0 ? [{ unchanged: `revision ${current.revision}` }] : []),
      ]);
      return EXIT_OK;
    }
    const operator = String(options.operator ?? process.env.USER ?? 'operator');
    const request = { baseRevision, operations, operator };
    let answer: VerdictResponse;
    try {
      answer = await controllers.queryCurrent((client) => client.change.mutate(request));
    } catch (error) {
      const failure = describeChangeFailure(error, current.revision);
      output.print({ changed: 0, baseRevision, ...failure }, () => formatFailure(failure));
      return EXIT_FAILURE;
    }
    return ApplyCommand.#printVerdict(call, answer, request);
  }

  static async #printVerdict(
    { controllers, output }: CommandCall,
    answer: VerdictResponse,
    { baseRevision, operations }: { baseRevision: number; operations: readonly Operation[] },
  ): Promise<number> {
    const { verdict, revision } = answer;
    if (verdict.outcome !== 'accepted') {
      const reasons = verdict.outcome === 'rejected' ? verdict.reasons : [];
      const isRace = reasons.some((reason) => reason.includes(' changed at revision '));
      const head = `rejected: your revision is ${baseRevision}, the fleet's is ${revision}`;
      const next = isRace
        ? 'Nothing was changed. Read the fleet, merge the other change into your files, apply again.'
        : 'Nothing was changed. Correct the files, or do first what the reasons ask for.';
      output.print({ changed: 0, baseRevision, ...answer, next }, () =>
        [head, ...reasons, next].join('\n'),
      );
      return EXIT_FAILURE;
    }
    const shortfalls = await listShortfalls(controllers);
    const changed = operations.length;
    const head = `accepted: ${changed} operation(s), revision ${baseRevision} -> ${revision}`;
    output.print({ changed, baseRevision, ...answer, shortfalls }, () =>
      [head, ...shortfalls].join('\n'),
    );
    return EXIT_OK;
  }
}
