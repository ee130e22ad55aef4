import { format, resolveConfig } from 'prettier';
import { allowedText, settingsSchema } from '../packages/settings/src/index.ts';
import type { SchemaNode } from '../packages/settings/src/index.ts';

const TARGET = 'docs/settings.md';
const INTRODUCTION = `# Settings

A node reads one JSON file: \`ragwortrudder serve --settings FILE\`. \`ragwortrudder settings check FILE\` tells every problem of a file, and \`ragwortrudder settings schema\` prints the JSON Schema. Unknown names are errors. An example is \`examples/settings/node.json\`. This page is made from the schema by \`npm run docs:settings\`.

All nodes need the same \`keys\`. Keys never show in logs, \`status\` or errors.

Settings that depend on each other: names and keys do not repeat; \`requests.deadlineMs\` is at most \`requests.maxDeadlineMs\`; \`membership.probeTimeoutMs\` at most \`membership.probePeriodMs\`; \`shutdown.handOverMs\` at most \`shutdown.graceMs\`; callers and peers have ports of their own.
`;

interface Leaf {
  readonly path: string;
  readonly node: SchemaNode;
  readonly isRequired: boolean;
}

function leavesOf(node: SchemaNode, path: string, isRequired: boolean): readonly Leaf[] {
  const ownEntries = node.description === undefined ? [] : [{ path, node, isRequired }];
  if (node.type === 'array' && node.items?.properties) {
    return [...ownEntries, ...leavesOf(node.items, `${path}[]`, false)];
  }
  if (!node.properties) return ownEntries;
  return Object.entries(node.properties).flatMap(([name, child]) =>
    leavesOf(child, `${path}.${name}`, node.required?.includes(name) ?? false),
  );
}

function defaultText({ node, isRequired }: Leaf): string {
  if (node.default !== undefined) return `\`${JSON.stringify(node.default)}\``;
  return isRequired ? 'must be set' : 'none';
}

function row(leaf: Leaf): string {
  const { path, node } = leaf;
  const allowed = node.type === 'array' && node.items?.properties ? 'a list' : allowedText(node);
  const cells = [`\`${path}\``, node.description, node.unit ?? '', defaultText(leaf), allowed];
  return `| ${cells.map((cell) => (cell ?? '').replaceAll('|', '\\|')).join(' | ')} |\n`;
}

function section(name: string, node: SchemaNode, isRequired: boolean): string {
  const rows = leavesOf(node, name, isRequired).map(row).join('');
  return `\n## ${name}\n\n| Setting | Meaning | Unit | Default | Allowed |\n| --- | --- | --- | --- | --- |\n${rows}`;
}

/** Generates the settings reference page from the settings schema. */
export async function settingsReference(): Promise<string> {
  const schema = settingsSchema();
  const sections = Object.entries(schema.properties ?? {}).map(([name, node]) =>
    section(name, node, schema.required?.includes(name) ?? false),
  );
  const config = await resolveConfig(TARGET);
  return format(`${INTRODUCTION}${sections.join('')}`, { ...config, parser: 'markdown' });
}
