import connection from './charts/connection.json' with { type: 'json' };
import lease from './charts/lease.json' with { type: 'json' };
import node from './charts/node.json' with { type: 'json' };
import request from './charts/request.json' with { type: 'json' };
import versionMove from './charts/version-move.json' with { type: 'json' };

export { TransitionRefused } from './errors/transition-refused.ts';
export type { ChartDefinition } from './types/chart-definition.ts';
export { Chart } from './utils/chart.ts';
export { connection, lease, node, request, versionMove };
