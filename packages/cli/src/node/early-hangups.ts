// A node that is still loading has read no settings that it could read again.
if (process.argv.includes('serve-platform')) process.on('SIGHUP', () => undefined);
