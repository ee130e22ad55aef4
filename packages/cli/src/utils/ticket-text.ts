import type { TicketReport } from '@ragwortrudder/client';
import { refusalText } from './refusal-text.ts';

function inForceText(inForce: TicketReport['inForce']): string {
  const domains = Object.entries(inForce)
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([domain, isInForce]) => `${domain} ${isInForce ? 'yes' : 'not yet'}`);
  return domains.length > 0 ? domains.join(', ') : 'no failure domains known yet';
}

function moveText({ service, from, to, takeoverBy, word }: TicketReport['moves'][number]): string {
  const by = takeoverBy === null ? '' : ` by ${new Date(takeoverBy).toISOString()}`;
  const state = word === null ? 'open' : `${word.word} (${word.reason})`;
  return `  move      ${service}: ${from} to ${to}${by}: ${state}\n`;
}

/** Formats the status of a ticket as human-readable text. */
export function ticketText(report: TicketReport): string {
  const head = `ticket ${report.number}: ${report.status}\n`;
  if (report.status === 'unknown') return `${head}  the node has no ticket with this number\n`;
  if (report.refusal) return `${head}  refused   ${refusalText(report.refusal)}\n`;
  const moves = report.moves.map(moveText).join('');
  return `${head}  in force  ${inForceText(report.inForce)}\n${moves}`;
}
