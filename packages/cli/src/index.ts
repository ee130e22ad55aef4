export { serveCommand } from './commands/serve.ts';
export { versionCommand } from './commands/version.ts';
