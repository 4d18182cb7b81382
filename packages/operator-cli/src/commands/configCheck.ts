/**
 * @fileoverview `config check`: reviews a configuration of the fleet before it is
 * sent, and compares it with the active one. It changes nothing.
 */
import {
  type ConfigurationDifference,
  reviewConfiguration,
  type ReviewFinding,
} from '@dogwoodtrestle/fleet';

import {type FleetDocument} from '../client/fleetClient.js';
import {type Context, readText} from '../context.js';
import {UsageError} from '../errors.js';
import {exitCodes} from '../exitCodes.js';
import {type CommandModule} from './commandModule.js';

const standardInputDescriptor = 0;

/** Options of the command line. */
interface CheckOptions {
  /** URL of a control process, or a file with the active configuration. */
  against?: string;
  errorsOnly?: boolean;
}

/** What is printed. */
interface CheckReport {
  findings: ReviewFinding[];
  /** Version of the active configuration, where it was read. */
  activeVersion?: number;
  differences?: ConfigurationDifference[];
}

type ReadDocument = Extract<FleetDocument, {configuration: unknown}>;

export const configCheck: CommandModule = (parent, bind) => {
  parent
    .command('check')
    .description('check a configuration of the fleet before it is sent')
    .argument('<file>', 'JSON file, or - for the standard input')
    .option(
      '--against <url or file>',
      'active configuration: of a control process, or in a file',
    )
    .option('--errors-only', 'leave out warnings')
    .action(bind(check));
};

async function check(
  context: Context,
  file: string,
  options: CheckOptions,
): Promise<void> {
  const report = await createReport(context, file, options);
  const {findings, differences, activeVersion} = report;
  if (findings.length > 0) context.exitCode = exitCodes.findings;
  context.print(report, () => {
    const lines = findings.map(describeFinding);
    if (lines.length === 0) lines.push('no findings');
    if (differences === undefined) return lines.join('\n');
    const heading = `${differences.length} differences from version ${activeVersion}`;
    return [...lines, '', heading, ...differences.map(describeDifference)].join(
      '\n',
    );
  });
}

async function createReport(
  context: Context,
  file: string,
  {against, errorsOnly = false}: CheckOptions,
): Promise<CheckReport> {
  const {fleetInterface} = context;
  const text = readText(file === '-' ? standardInputDescriptor : file);
  const document = fleetInterface.readConfiguration(text);
  if ('findings' in document) {
    const findings = document.findings.map(finding => ({
      severity: 'error' as const,
      kind: 'invalid' as const,
      ...finding,
    }));
    return {findings};
  }
  const active =
    against === undefined ? undefined : await readActive(context, against);
  const {configuration, pathOf} = document;
  const review = reviewConfiguration(configuration, active?.configuration);
  return {
    findings: review.findings
      .filter(({severity}) => severity === 'error' || !errorsOnly)
      .map(finding => ({...finding, path: pathOf(finding.path)})),
    activeVersion: active?.configuration.version,
    differences: review.differences?.map(difference => {
      const place =
        difference.change === 'removed' && active !== undefined
          ? active.pathOf
          : pathOf;
      return {...difference, path: place(difference.path)};
    }),
  };
}

/**
 * Reads the active configuration.
 *
 * @throws {UsageError} What was read is no configuration.
 */
async function readActive(
  context: Context,
  against: string,
): Promise<ReadDocument> {
  const text = /^https?:\/\//.test(against)
    ? await context.fleetClientOf(against).activeConfiguration()
    : readText(against);
  const document = context.fleetInterface.readConfiguration(text);
  if ('configuration' in document) return document;
  const [finding] = document.findings;
  throw new UsageError(
    `${against} is no configuration: ${finding?.path ?? ''} ${finding?.message ?? ''}`,
  );
}

function describeFinding({
  severity,
  kind,
  path,
  message,
}: ReviewFinding): string {
  return `${severity} ${kind} ${path}: ${message}`;
}

function describeDifference({
  change,
  path,
  name,
  before,
  after,
}: ConfigurationDifference): string {
  const title = name === undefined ? path : `${path} (${name})`;
  if (change !== 'changed') return `${change} ${title}`;
  return `${change} ${title}: ${show(before)} -> ${show(after)}`;
}

function show(value: unknown): string {
  return value === undefined ? 'missing' : JSON.stringify(value);
}
