export { versionCommand } from './commands/version.ts';
