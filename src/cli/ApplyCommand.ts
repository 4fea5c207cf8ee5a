import { FindingsError, formatFinding } from '../finding/mod.js';
import type { Operation } from '../record/mod.js';
import { loadDocuments, mergeDocuments, type FleetDocument } from '../settings/mod.js';
import { Command, EXIT_FAILURE, EXIT_OK, type CommandCall, type CommandOption } from './Command.js';
import { compareDocument } from '../fleet/mod.js';
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
    const seen = options.revision === undefined ? current.revision : Number(options.revision);
    if (!Number.isInteger(seen) || seen < 0) {
      throw new UsageError(`--revision: expected a revision, got "${String(options.revision)}"`);
    }
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
    const request = { baseRevision: seen, operations, operator };
    const answer = await controllers.queryCurrent((client) => client.change.mutate(request));
    const { verdict, revision } = answer;
    const reasons = verdict.outcome === 'rejected' ? verdict.reasons : [];
    const isAccepted = verdict.outcome === 'accepted';
    const changed = isAccepted ? operations.length : 0;
    output.print({ changed, baseRevision: seen, ...answer }, () =>
      isAccepted
        ? `accepted: ${operations.length} operation(s), revision ${seen} -> ${revision}`
        : [`rejected: your revision is ${seen}, the fleet's is ${revision}`, ...reasons].join('\n'),
    );
    return isAccepted ? EXIT_OK : EXIT_FAILURE;
  }
}
