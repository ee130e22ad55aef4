import type { NodeStatus } from '@ragwortrudder/client';
import { table } from './table.ts';

function lagText(lagMs: number | null): string {
  return lagMs === null ? 'unknown' : `${lagMs} ms`;
}

function section(title: string, count: number, text: string): string {
  return `\n${title} (${count})\n${count === 0 ? '' : text}`;
}

function members({ members: items }: NodeStatus): string {
  const rows = items.map(({ nodeId, failureDomain, state, callerAddress }) => [
    nodeId,
    failureDomain,
    state,
    callerAddress,
  ]);
  return section('members', rows.length, table(['NODE', 'DOMAIN', 'STATE', 'CALLERS'], rows));
}

function runners({ runners: items }: NodeStatus): string {
  const rows = items.map((runner) => [
    runner.id,
    runner.service,
    runner.version,
    runner.failureDomain,
    runner.setAside ? `${runner.state}, set aside` : runner.state,
    `${runner.inFlight}/${runner.limit}`,
    lagText(runner.loadAgeMs),
  ]);
  const headings = ['RUNNER', 'SERVICE', 'VERSION', 'DOMAIN', 'STATE', 'IN FLIGHT', 'LOAD AGE'];
  return section('runners', rows.length, table(headings, rows));
}

function moves({ moves: items }: NodeStatus): string {
  const rows = items.map(({ moveId, state, plan }) => [
    moveId,
    state,
    String(plan.share ?? ''),
    plan.reason ?? '',
  ]);
  return section('moves', rows.length, table(['MOVE', 'STATE', 'SHARE', 'REASON'], rows));
}

function leases({ leases: items }: NodeStatus): string {
  const rows = items.map(({ job, holder, fence, endsInMs }) => [
    job,
    holder ?? 'nobody',
    String(fence ?? ''),
    endsInMs === null ? '' : `${Math.round(endsInMs)} ms`,
  ]);
  return section('leases', rows.length, table(['JOB', 'HOLDER', 'FENCE', 'ENDS IN'], rows));
}

function supply({ supply: items }: NodeStatus): string {
  const rows = items.map((item) => [
    item.service,
    item.state,
    ...[item.wantedRunners, item.heldVms, item.pendingStarts, item.returningVms].map(String),
    ...[item.refusedKinds, item.protectedRunners].map(String),
  ]);
  const counted = ['WANTED', 'HELD', 'STARTING', 'RETURNING', 'REFUSED', 'PROTECTED'];
  return section('supply', rows.length, table(['SERVICE', 'STATE', ...counted], rows));
}

function counts(title: string, values: Readonly<Record<string, number>>): string {
  const rows = Object.entries(values).map(([name, value]) => [name, String(value)]);
  return section(title, rows.length, table(['NAME', 'COUNT'], rows));
}

/** Formats the status of a node as human-readable tables. */
export function statusText(status: NodeStatus): string {
  const { node, log } = status;
  const head = [
    `node     ${node.id}, ${node.state}, failure domain ${node.failureDomain}, region ${node.region}`,
    `log      ${log.reachable ? 'reachable' : 'not reachable'}, lag ${lagText(log.lagMs)}, newest ticket ${log.newestTicket}`,
  ];
  return [
    `${head.join('\n')}\n`,
    members(status),
    runners(status),
    moves(status),
    leases(status),
    supply(status),
    counts('requests', status.requests),
    counts('refusals by cause', status.refusals),
  ].join('');
}
